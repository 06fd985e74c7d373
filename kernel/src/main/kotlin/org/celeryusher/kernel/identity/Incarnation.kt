package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/**
 * One life of the node on an instance.
 *
 * [start] differs for every process start (wall-clock milliseconds in the high bits, random low bits), so a restarted node is never taken
 * for the process before it. [refutation] rises within one life each time the node contradicts a suspicion about itself.
 */
@Serializable
public data class Incarnation(
    public val start: Long,
    public val refutation: Int = 0,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = compareValuesBy(this, other, Incarnation::start, Incarnation::refutation)

    /** Returns whether both belong to the same process start. */
    public fun isSameLifeAs(other: Incarnation): Boolean = start == other.start
}
