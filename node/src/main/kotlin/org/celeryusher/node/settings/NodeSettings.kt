package org.celeryusher.node.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RegionName
import org.celeryusher.kernel.identity.ServiceName

/**
 * The settings that a node reads at its start: its identity, its addresses and the nodes to contact first.
 *
 * Everything that can change while nodes run is in the configuration document instead.
 */
@Serializable
public data class NodeSettings(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val addresses: NodeAddresses,
    /** The address of the backend server beside this node. */
    @Serializable(with = AddressTextSerializer::class)
    public val backendServer: Address,
    /** The address of the platform's configuration service and instance list. */
    @Serializable(with = AddressTextSerializer::class)
    public val platform: Address,
    /** The control addresses of nodes to contact first, in addition to those that the platform lists. */
    public val seeds: List<
        @Serializable(with = AddressTextSerializer::class)
        Address,
    > = emptyList(),
    public val limits: NodeLimits = NodeLimits(),
    /** What untrusted callers may make the node hold. */
    public val callerBudget: CallerBudgetSettings = CallerBudgetSettings(),
    public val control: ControlSettings = ControlSettings(),
    /** The name of the platform adapter; null for a platform that implements celeryusher's own interface. */
    public val platformAdapter: String? = null,
    /** Fleet settings for values that the platform's configuration does not set; used only with an adapter. */
    public val fleetDefaults: FleetSettings = FleetSettings(),
    /** What the deployment grants and demands, as far as it states that. */
    public val bounds: DeploymentBounds = DeploymentBounds(),
    /** The limits of the machine that the node runs on, as far as the deployment states them. */
    public val machine: MachineLimits = MachineLimits(),
    /** The region of each data centre, as text such as `antwerp-1=antwerp,antwerp-2=antwerp`; null where that is not stated. */
    @Serializable(with = StatedRegionsSerializer::class)
    public val regions: Map<DataCentreName, RegionName>? = null,
    /** Whether this is the first start of the whole fleet, so that no earlier process has used anything up. Null where that is not stated. */
    @Serializable(with = StatedFlagSerializer::class)
    public val firstStart: Boolean? = null,
    /** The share of a backend server's slots reserved for each rank where the configuration sets none; used only with an adapter. */
    public val guaranteedShare: Double = 0.0,
    /** A secret of at least 16 characters that all nodes of the fleet share; without it control messages are not signed. */
    public val fleetSecret: String? = null,
    /** What the file states in a form that is not understood; the defaults apply in its place. */
    @Transient
    public val warnings: List<SettingsFault> = emptyList(),
) {
    /** The fleet settings with the bounds that the deployment states in place of the defaults. */
    public val boundedDefaults: FleetSettings
        get() =
            fleetDefaults.copy(
                retryBudgetShare = bounds.retryShare ?: fleetDefaults.retryBudgetShare,
                retryReserve = bounds.retryReserve ?: fleetDefaults.retryReserve,
            )

    /** Returns a copy in which the secret is masked, for printing. */
    public fun redacted(): NodeSettings = copy(fleetSecret = fleetSecret?.let { "(set)" })
}

/** The addresses at which a node listens, each an IP address and a port. */
@Serializable
public data class NodeAddresses(
    /** HTTP from callers. */
    @Serializable(with = AddressTextSerializer::class)
    public val callers: Address,
    /** HTTP with JSON, for control messages from other nodes. */
    @Serializable(with = AddressTextSerializer::class)
    public val control: Address,
    /** Frames that carry calls from other nodes. */
    @Serializable(with = AddressTextSerializer::class)
    public val frames: Address,
    /** HTTP from operators; bind it to loopback unless the network is trusted. */
    @Serializable(with = AddressTextSerializer::class)
    public val admin: Address,
)

/** Limits in bytes on the input that a node accepts, and a limit on its graceful shutdown. */
@Serializable
public data class NodeLimits(
    public val maximumHeaderBytes: Int = 16_384,
    public val maximumBodyBytes: Int = 1_048_576,
    public val maximumAnswerBytes: Int = 4_194_304,
    public val maximumMessageBytes: Int = 2_097_152,
    /** The bytes in the bodies of the calls that run at a time on a backend server that states its slowdown; a call alone may have more. */
    public val maximumServerBytes: Long = 67_108_864,
    /** How long a graceful shutdown waits for calls in flight if the configuration in force sets no limit. */
    public val drainLimitMilliseconds: Long = 10_000,
)

/** Timing settings of the control plane of a node. */
@Serializable
public data class ControlSettings(
    /** The interval at which a node exchanges gossip with one other node. */
    public val gossipIntervalMilliseconds: Long = 500,
    /** How long a node that has just started asks other nodes for their configuration version before it serves calls. */
    public val floorWaitMilliseconds: Long = 3_000,
    /** The interval between health checks of the backend server. */
    public val healthIntervalMilliseconds: Long = 1_000,
    /** How long one watch request to the platform (a long poll) waits. */
    public val watchMilliseconds: Long = 10_000,
    /** The one-way latency between data centres, in microseconds. */
    public val interDataCentreMicroseconds: Long = 1_500,
    /** The cost of one kilobyte of an answer from another data centre, as an equivalent wait in microseconds; 0 if such traffic is free. */
    public val interDataCentreMicrosecondsPerKilobyte: Long = 0,
    /**
     * How long a stopping node still accepts calls, so that callers and other nodes learn first that it leaves.
     *
     * The default is longer than two checks of readiness, one a second.
     */
    public val leaveNoticeMilliseconds: Long = 2_200,
    /** Whether this node reads the platform directly and accepts no configuration from other nodes; the baseline for measurements. */
    public val readsPlatformAlone: Boolean = false,
)
