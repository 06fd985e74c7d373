package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.MemberState

/** The status of one node's control plane: the configuration in force, its source, the members and the traffic. */
@Serializable
public data class ControlStatus(
    public val instance: InstanceName,
    public val incarnation: Incarnation,
    /** Null while no configuration is in force. */
    public val configuration: ConfigurationStatus?,
    /** The highest version that peers reported after this node started. */
    public val floor: Long?,
    public val refused: List<RefusedStatus>,
    public val conflicts: List<ConflictStatus>,
    public val configurationSource: SourceStatus,
    public val instancesSource: SourceStatus,
    /** The revision of the platform's instance list that this node holds, or null when it holds none. */
    public val instancesRevision: Long?,
    public val members: List<MemberStatus>,
    public val isLeaving: Boolean,
    /** Whether new work waits until this node has received updates from enough peers. */
    public val needsRefresh: Boolean,
    /** The factor by which the probe interval and the probe timeouts are extended; 1 for a healthy node. */
    public val healthMultiplier: Int,
    public val traffic: ControlTrafficCounts,
    /** The evacuations in force. */
    public val evacuations: List<EvacuationStatus> = emptyList(),
    /** The number of answers of the platform whose revision was below that of the known evacuations. */
    public val evacuationAnswersBelow: Long = 0,
)

/** An evacuation in force: for how long this node has known it, and the revision of the store at which it was last written. */
@Serializable
public data class EvacuationStatus(
    public val dataCentre: DataCentreName,
    public val knownForMilliseconds: Long,
    public val revision: Long,
)

/** The configuration in force. */
@Serializable
public data class ConfigurationStatus(
    public val version: Long,
    public val contentHash: Long,
    /** The platform or the peer that provided the configuration. */
    public val source: String,
    public val heldForMilliseconds: Long,
)

/** A refused document and its faults. */
@Serializable
public data class RefusedStatus(
    public val version: Long?,
    public val source: String,
    public val agoMilliseconds: Long,
    public val faults: List<String>,
)

/** A configuration with the version in force here but with different content. */
@Serializable
public data class ConflictStatus(
    public val version: Long,
    public val contentHash: Long,
    public val source: String,
)

/** The status of one source on the platform: the configuration or the instance list. */
@Serializable
public data class SourceStatus(
    /** The time since the platform last answered this node or a node that reported it here; null when it never did. */
    public val ageMilliseconds: Long?,
    /** The position of this node in the order of readers of its data centre; the node at position 0 reads the platform. */
    public val readerPosition: Int,
)

/** One member in this node's view of the fleet. */
@Serializable
public data class MemberStatus(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val state: MemberState,
    /** Null when the instance is known only from the platform's list. */
    public val incarnation: Incarnation?,
    public val suspectedBy: List<InstanceName> = emptyList(),
    public val suspectedForMilliseconds: Long? = null,
    /** Whether the member stays suspected, and is not declared dead, because too many others are suspected or dead. */
    public val isEvictionHeld: Boolean = false,
)
