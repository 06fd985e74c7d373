package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** The name under which the platform lists one instance: a machine with a backend server and the node beside it. */
@JvmInline
@Serializable
public value class InstanceName(
    public val value: String,
) : Comparable<InstanceName> {
    override fun compareTo(other: InstanceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
