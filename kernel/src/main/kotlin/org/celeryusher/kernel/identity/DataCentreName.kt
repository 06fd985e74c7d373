package org.celeryusher.kernel.identity

import kotlinx.serialization.Serializable

/** The name of a data centre, as operators and the platform use it. */
@JvmInline
@Serializable
public value class DataCentreName(
    public val value: String,
) : Comparable<DataCentreName> {
    override fun compareTo(other: DataCentreName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
