package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** The name of a route in the configuration document. */
@JvmInline
@Serializable
public value class RouteName(
    public val value: String,
) : Comparable<RouteName> {
    override fun compareTo(other: RouteName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
