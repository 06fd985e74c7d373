package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.MemberState

/** What one node's control work knows: which configuration is in force and why, whom it takes for live, and what it costs. */
@Serializable
public data class ControlStatus(
    public val instance: InstanceName,
    public val incarnation: Incarnation,
    /** Null while none is in force. */
    public val configuration: ConfigurationStatus?,
    /** The highest version that peers reported when this node started. */
    public val floor: Long?,
    public val refused: List<RefusedStatus>,
    public val conflicts: List<ConflictStatus>,
    public val configurationSource: SourceStatus,
    public val instancesSource: SourceStatus,
    /** The revision of the platform's instance list that this node holds. */
    public val instancesRevision: Long?,
    public val members: List<MemberStatus>,
    public val isLeaving: Boolean,
    /** Whether new work waits until peers have told what they know. */
    public val needsRefresh: Boolean,
    /** 1 for a healthy node; its probe interval and timeouts are stretched by this factor. */
    public val healthMultiplier: Int,
    public val traffic: ControlTrafficCounts,
)

/** The configuration in force. */
@Serializable
public data class ConfigurationStatus(
    public val version: Long,
    public val contentHash: Long,
    /** The platform, or the peer that it came from. */
    public val source: String,
    public val heldForMilliseconds: Long,
)

/** A document that was refused, with the reasons. */
@Serializable
public data class RefusedStatus(
    public val version: Long?,
    public val source: String,
    public val agoMilliseconds: Long,
    public val faults: List<String>,
)

/** Other content under the version in force here. */
@Serializable
public data class ConflictStatus(
    public val version: Long,
    public val contentHash: Long,
    public val source: String,
)

/** What is known of one of the platform's services. */
@Serializable
public data class SourceStatus(
    /** How long ago the platform answered any node of which this one has heard; null when that never happened. */
    public val ageMilliseconds: Long?,
    /** The position of this node among the readers of its data centre; the one at 0 reads. */
    public val readerPosition: Int,
)

/** One member as this node sees it. */
@Serializable
public data class MemberStatus(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val state: MemberState,
    /** Null when only the platform's list has named the instance. */
    public val incarnation: Incarnation?,
    public val suspectedBy: List<InstanceName> = emptyList(),
    public val suspectedForMilliseconds: Long? = null,
    /** Whether it is kept as suspected because too many others are suspected or dead. */
    public val isEvictionHeld: Boolean = false,
)
