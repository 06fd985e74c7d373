package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.distribution.SourceMode
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName

/** How one node gets the platform's data: the section `source` of its status. */
@Serializable
public data class SourceReadStatus(
    public val mode: SourceMode,
    /** The platform or the node that was last asked, or null before the first. */
    public val lastAsked: String?,
    /** The time until this node may read the platform again, which did not answer; 0 if it may do so at once. */
    public val pauseMilliseconds: Long,
    /** The ages count from the latest time at which the data is known to have been current, here or at the node asked; null for never. */
    public val configurationAgeMilliseconds: Long?,
    public val instancesAgeMilliseconds: Long?,
    /** The time since this node learned of the latest listing of the evacuations; null for never. */
    public val evacuationListingAgeMilliseconds: Long?,
    /** The reads since the start by what was read and how they ended, without zeros. */
    public val reads: Map<String, Map<String, Long>>,
    /** The latest read without a valid answer. */
    public val lastFailure: ReadFailureStatus? = null,
    /** The era of the platform's store, which rises when the store has lost changes; null before the first answer. */
    public val era: Long? = null,
    /** The time since this node learned that the era has risen; null if it has not. */
    public val eraChangeAgeMilliseconds: Long? = null,
    /** The answers that were ignored because of the era that they state, by fault, without zeros. */
    public val refusedEras: Map<String, Long> = emptyMap(),
    /** The instances that are in use although the platform does not list them, because their entries may be written again. */
    public val heldInstances: List<InstanceName> = emptyList(),
    /** The evacuations that are in force although the platform does not list them, for the same reason. */
    public val heldEvacuations: List<DataCentreName> = emptyList(),
    /** How far this node is behind the newest configuration that it has heard of. */
    public val lag: VersionLagStatus = VersionLagStatus(null, 0),
    /** The configurations sent to other nodes and taken over from them. */
    public val transfers: TransferStatus = TransferStatus(),
    /** Whether this node declines to be asked for the platform's data, because the document takes too long on its link. */
    public val declines: Boolean = false,
    /** The number of other instances that are known to decline. */
    public val othersDeclining: Int = 0,
)

/** How far a node is behind the newest configuration that it has heard of. */
@Serializable
public data class VersionLagStatus(
    /** The newest version that this node has, or of which another one has told it; null before the first. */
    public val newestHeard: Long?,
    /** How long this node has known of a version that it does not have; 0 if it has the newest one. */
    public val behindMilliseconds: Long,
)

/** The configurations that a node has exchanged with others since its start. */
@Serializable
public data class TransferStatus(
    public val changesSent: Long = 0,
    public val changeBytesSent: Long = 0,
    public val documentsSent: Long = 0,
    public val documentBytesSent: Long = 0,
    public val changesReceived: Long = 0,
    public val documentsReceived: Long = 0,
    /** The answers with changes that were refused, and in place of which a whole document was asked for. */
    public val changesRefused: Long = 0,
)

/** A read of the platform without a valid answer. */
@Serializable
public data class ReadFailureStatus(
    public val read: String,
    public val reason: String,
    public val agoMilliseconds: Long,
)
