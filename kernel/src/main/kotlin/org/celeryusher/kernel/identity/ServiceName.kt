package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** The name of a service, which several backend servers provide. */
@JvmInline
@Serializable
public value class ServiceName(
    public val value: String,
) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
