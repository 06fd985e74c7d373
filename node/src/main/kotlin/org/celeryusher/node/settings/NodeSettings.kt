package org.celeryusher.node.settings

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/**
 * What one node is told at its start: who it is, where it listens, and whom to ask first.
 *
 * Everything that may change while nodes run stands in the configuration document instead.
 */
@Serializable
public data class NodeSettings(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val addresses: NodeAddresses,
    /** Where the backend server beside this node listens. */
    @Serializable(with = AddressTextSerializer::class)
    public val backendServer: Address,
    /** Where the platform's configuration service and instance list are read. */
    @Serializable(with = AddressTextSerializer::class)
    public val platform: Address,
    /** Control addresses of nodes to ask first, besides those that the platform lists. */
    public val seeds: List<
        @Serializable(with = AddressTextSerializer::class)
        Address,
    > = emptyList(),
    public val limits: NodeLimits = NodeLimits(),
    public val control: ControlSettings = ControlSettings(),
    /** The adapter of the platform, by its name; null for a platform that speaks celeryusher's own interface. */
    public val platformAdapter: String? = null,
    /** What holds for the fleet where the platform's configuration does not say; used only with an adapter. */
    public val fleetDefaults: FleetSettings = FleetSettings(),
    /** The share of a backend server's slots that each rank keeps where the configuration does not say; used only with an adapter. */
    public val guaranteedShare: Double = 0.0,
    /** A secret of at least 16 characters shared by all nodes of the fleet; without it control messages are not signed. */
    public val fleetSecret: String? = null,
) {
    /** These settings without the secret, for printing. */
    public fun redacted(): NodeSettings = copy(fleetSecret = fleetSecret?.let { "(set)" })
}

/** Where a node listens, each by IP number and port. */
@Serializable
public data class NodeAddresses(
    /** HTTP for callers. */
    @Serializable(with = AddressTextSerializer::class)
    public val callers: Address,
    /** HTTP with JSON for control messages of other nodes. */
    @Serializable(with = AddressTextSerializer::class)
    public val control: Address,
    /** Frames that carry calls from other nodes. */
    @Serializable(with = AddressTextSerializer::class)
    public val frames: Address,
    /** HTTP for operators; bind it to loopback unless the network is trusted. */
    @Serializable(with = AddressTextSerializer::class)
    public val admin: Address,
)

/** Limits on what a node reads from outside, in bytes, and on its own stop. */
@Serializable
public data class NodeLimits(
    public val maximumHeaderBytes: Int = 16_384,
    public val maximumBodyBytes: Int = 1_048_576,
    public val maximumAnswerBytes: Int = 4_194_304,
    public val maximumMessageBytes: Int = 2_097_152,
    /** How long a graceful shutdown waits for calls in flight, when the configuration in force gives no limit. */
    public val drainLimitMilliseconds: Long = 10_000,
)

/** Timing of the control work of a node. */
@Serializable
public data class ControlSettings(
    /** How often a node exchanges news with one other node. */
    public val gossipIntervalMilliseconds: Long = 500,
    /** How long a node that has just started asks others for the version that they hold before it serves. */
    public val floorWaitMilliseconds: Long = 3_000,
    /** How often the backend server's health is read. */
    public val healthIntervalMilliseconds: Long = 1_000,
    /** How long one watch on the platform waits. */
    public val watchMilliseconds: Long = 10_000,
    /** The one-way latency between data centres, in microseconds. */
    public val interDataCentreMicroseconds: Long = 1_500,
    /** What a kilobyte of an answer from another data centre is worth in waiting time, in microseconds; 0 where such bytes cost nothing. */
    public val interDataCentreMicrosecondsPerKilobyte: Long = 0,
    /** How long a node that was told to stop still takes calls, so that callers and other nodes hear of it first. */
    public val leaveNoticeMilliseconds: Long = 2_000,
    /** When set, this node watches the platform on its own and takes no configuration from others: the baseline of measurements. */
    public val readsPlatformAlone: Boolean = false,
)
