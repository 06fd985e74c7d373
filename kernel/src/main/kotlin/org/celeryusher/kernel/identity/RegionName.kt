package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** The name of a region, a group of data centres, as the platform uses it. */
@JvmInline
@Serializable
public value class RegionName(
    public val value: String,
) {
    override fun toString(): String = value
}
