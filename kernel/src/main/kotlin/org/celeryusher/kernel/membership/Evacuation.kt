package org.celeryusher.kernel.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.StorePosition

/** One change of the evacuations that operators request, with the position in the store's history that resulted from it. */
public sealed interface EvacuationChange {
    public val dataCentre: DataCentreName
    public val revision: Long

    /** The era of [revision]. */
    public val era: Long

    /** The position of the change. */
    public val position: StorePosition get() = StorePosition(era, revision)

    /** Nothing more may be sent to the servers of [dataCentre]. */
    public data class Requested(
        override val dataCentre: DataCentreName,
        override val revision: Long,
        override val era: Long = 0,
    ) : EvacuationChange

    /** The evacuation of [dataCentre] was withdrawn. */
    public data class Withdrawn(
        override val dataCentre: DataCentreName,
        override val revision: Long,
        override val era: Long = 0,
    ) : EvacuationChange
}

/** An evacuation in force, and the position of the store at which it was last written. */
@Serializable
public data class Evacuation(
    @SerialName("d") public val dataCentre: DataCentreName,
    @SerialName("r") public val revision: Long,
    /** The era of [revision]; 0 from a node of an earlier version. */
    @SerialName("g") public val era: Long = 0,
)

/**
 * The evacuations that a node knows after answers up to [position] of the store. A data centre that is not in the set, and whose evacuation
 * was written at or below [listed], is not evacuated; about later ones the set says nothing, since a watch may have omitted them.
 */
@Serializable
public data class EvacuationSet(
    @SerialName("r") public val revision: Long,
    /** The number of the latest change, from which a node sees whether it has all changes of another one. */
    @SerialName("c") public val changedAt: Long,
    @SerialName("e") public val evacuations: List<Evacuation> = emptyList(),
    /** The revision at which the latest listing began that the set includes; null from a node of an earlier version. */
    @SerialName("l") public val listedTo: Long? = null,
    /** The withdrawals above [listedTo] that watches returned, each with its revision. */
    @SerialName("w") public val withdrawn: List<Evacuation> = emptyList(),
    /** The era of [revision]; 0 from a node of an earlier version. */
    @SerialName("g") public val era: Long = 0,
    /** The era of [listedTo]. */
    @SerialName("h") public val listedEra: Long = 0,
    /** The requests that the listing found and that the node takes for old ones, withdrawn before the store lost changes. */
    @SerialName("o") public val doubtful: List<Evacuation> = emptyList(),
) {
    /** The position up to which answers of the store are known. */
    public val position: StorePosition get() = StorePosition(era, revision)

    /** The position at which the latest listing began, or null from a node of an earlier version. */
    public val listed: StorePosition? get() = listedTo?.let { StorePosition(listedEra, it) }
}
