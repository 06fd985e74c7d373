package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/**
 * The incarnation of the node on an instance: which process it is, and how many suspicions it has refuted.
 *
 * [start] differs for every process start (wall-clock milliseconds in the high bits, random low bits), so a restarted node is never
 * mistaken for the previous process. [refutation] increases within one process each time the node refutes a suspicion about itself.
 */
@Serializable
public data class Incarnation(
    public val start: Long,
    public val refutation: Int = 0,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, Incarnation::start, Incarnation::refutation)

    /** Returns whether [other] belongs to the same process. */
    public fun isSameProcessAs(other: Incarnation): Boolean = start == other.start
}
