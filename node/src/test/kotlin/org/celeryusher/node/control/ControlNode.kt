package org.celeryusher.node.control

import kotlinx.coroutines.CoroutineScope
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.PlatformInstance
import org.celeryusher.kernel.membership.PlatformInstanceState
import org.celeryusher.node.runtime.HttpAddress
import org.celeryusher.node.runtime.NodeHttpServer
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.runtime.SharedResources
import org.celeryusher.node.settings.ControlSettings
import org.celeryusher.node.settings.NodeAddresses
import org.celeryusher.node.settings.NodeLimits
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** One process of a node that serves only its control address. */
internal class ControlNode(
    val settings: NodeSettings,
    processStart: Long,
    resources: SharedResources,
) {
    val routing = RoutingState(FleetPlace(settings.dataCentre, settings.service, settings.instance))
    val control =
        ControlPlane(
            settings,
            Incarnation(processStart),
            routing,
            resources.httpClient,
            ProcessClock.SYSTEM,
            Random(processStart),
            GossipExtension.None,
            withShortStart(ControlTuning.of(settings.control)),
        )
    private val server = NodeHttpServer(listOf(HttpAddress(settings.addresses.control, control::answer)))

    val version: Long?
        get() =
            routing.current.snapshot
                ?.digest
                ?.version

    fun stateOf(other: ControlNode): MemberState? =
        routing.current.view[other.settings.instance]
            ?.state

    suspend fun start(scope: CoroutineScope) {
        server.start()
        control.start(scope)
    }

    /** Ends without an announcement to other nodes, as a killed process would. */
    suspend fun kill(): Unit = server.stop()

    companion object {
        fun settingsOf(
            index: Int,
            address: Address,
            platform: Address,
            seeds: List<Address>,
            secret: String?,
        ): NodeSettings =
            NodeSettings(
                instance = InstanceName("billing-desk-$index"),
                service = ServiceName("billing-desk"),
                dataCentre = DataCentreName("antwerp-${index % 2}"),
                addresses = NodeAddresses(Address("127.0.0.1", 1), address, Address("127.0.0.1", 2), Address("127.0.0.1", 3)),
                backendServer = Address("127.0.0.1", 4),
                platform = platform,
                seeds = seeds,
                limits = NodeLimits(maximumMessageBytes = 100_000),
                control = ControlSettings(gossipIntervalMilliseconds = 200, floorWaitMilliseconds = 1_500),
                fleetSecret = secret,
            )

        private fun withShortStart(tuning: ControlTuning): ControlTuning =
            tuning.copy(
                configurationReader = tuning.configurationReader.copy(startSpread = 300.milliseconds),
                instanceReader = tuning.instanceReader.copy(startSpread = 300.milliseconds),
            )
    }
}

/** Returns the entry of this node in the platform's instance list. */
internal fun NodeSettings.listed(state: PlatformInstanceState = PlatformInstanceState.LIVE): PlatformInstance =
    PlatformInstance(instance, service, dataCentre, addresses.control, addresses.frames, backendServer, state)
