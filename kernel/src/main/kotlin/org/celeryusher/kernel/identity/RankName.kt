package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** The name of a rank, which is a class of work by urgency and value. */
@JvmInline
@Serializable
public value class RankName(
    public val value: String,
) : Comparable<RankName> {
    override fun compareTo(other: RankName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
