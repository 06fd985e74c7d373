package org.celeryusher.standin.fleet

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.node.runtime.Node
import org.celeryusher.node.runtime.SharedResources
import org.celeryusher.node.settings.ControlSettings
import org.celeryusher.node.settings.NodeAddresses
import org.celeryusher.node.settings.NodeSettings
import org.celeryusher.standin.platform.PlatformInstance
import org.celeryusher.standin.platform.PlatformOptions
import org.celeryusher.standin.platform.PlatformStandIn
import org.celeryusher.standin.server.BackendServerStandIn
import org.celeryusher.standin.server.WorkLedger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One instance of a [LocalFleet]: a real node and the stand-in of the backend server beside it. */
public class FleetInstance(
    public val node: Node,
    public val server: BackendServerStandIn,
) {
    /** The instance's name. */
    public val name: InstanceName get() = node.settings.instance

    /** Whether callers still use the node. */
    @Volatile
    public var isInUse: Boolean = true
        internal set

    /** The version of the configuration in force on the node, or null before the first. */
    public val version: Long? get() =
        node.routing.current.snapshot
            ?.digest
            ?.version
}

/** Real nodes, stand-in backend servers and the platform's stand-in, all in this process on loopback. */
public class LocalFleet(
    public val shape: DeploymentShape,
    private val control: ControlSettings = ControlSettings(),
    platformOptions: PlatformOptions = PlatformOptions(),
) {
    /** The platform's stand-in. */
    public val platform: PlatformStandIn = PlatformStandIn(platformOptions)

    /** Counts runs on all backend servers. */
    public val ledger: WorkLedger = WorkLedger()

    /** All instances, the stopped ones included. */
    public lateinit var instances: List<FleetInstance>
        private set

    private val resources = SharedResources()

    /** The instances whose nodes callers may use. */
    public val inUse: List<FleetInstance> get() = instances.filter(FleetInstance::isInUse)

    /** Starts everything and returns when each node has a configuration in force and no held route, or [limit] has passed. */
    public suspend fun start(limit: Duration = 30.seconds): Boolean {
        platform.start()
        platform.publish(shape.document)
        val ports = FreePorts.take(shape.instances * PORTS_PER_NODE).chunked(PORTS_PER_NODE)
        instances =
            shape.services.flatMap { service -> (1..service.servers).map { service to it } }.mapIndexed { index, (service, number) ->
                createInstance(service, number, index, ports[index])
            }
        platform.setInstances(instances.map(::listed))
        coroutineScope { instances.map { async { it.node.start() } }.awaitAll() }
        return awaitAll(limit) { it.isServing() }
    }

    /** Waits until [condition] holds for each instance in use, and returns false when [limit] passes first. */
    public suspend fun awaitAll(
        limit: Duration,
        condition: (FleetInstance) -> Boolean,
    ): Boolean =
        withTimeoutOrNull(limit) {
            while (!inUse.all(condition)) delay(POLL_INTERVAL)
            true
        } ?: false

    /** Ends the node and the backend server of [instance] without notice; the platform's list keeps naming it. */
    public suspend fun kill(instance: FleetInstance) {
        instance.isInUse = false
        instance.server.crash()
        instance.node.halt()
    }

    /** Stops [instance] as planned: callers turn to other nodes, the node stops gracefully, then the backend server ends. */
    public suspend fun stopGracefully(instance: FleetInstance) {
        instance.isInUse = false
        delay(CALLERS_TURN_AWAY)
        instance.node.stop()
        instance.server.stop()
    }

    /** Stops everything that still runs. */
    public suspend fun stop() {
        coroutineScope { inUse.map { async { it.node.halt() } }.awaitAll() }
        instances.forEach { it.server.stop() }
        platform.stop()
        resources.close()
    }

    private fun createInstance(
        service: ServiceShape,
        number: Int,
        index: Int,
        ports: List<Int>,
    ): FleetInstance {
        val name = InstanceName("${service.service}-$number")
        val server = BackendServerStandIn(name, shape.profileOf(service, seed = index.toLong()), ledger).start()
        val addresses = ports.map { Address(LOOPBACK, it) }
        val settings =
            NodeSettings(
                instance = name,
                service = service.service,
                dataCentre = shape.dataCentres[(number - 1) % shape.dataCentres.size],
                addresses = NodeAddresses(addresses[0], addresses[1], addresses[2], addresses[3]),
                backendServer = server.address,
                platform = platform.address,
                control = control,
                fleetSecret = "a secret of a fleet on loopback",
            )
        return FleetInstance(Node(settings, resources), server)
    }

    private fun listed(instance: FleetInstance): PlatformInstance {
        val settings = instance.node.settings
        return PlatformInstance(
            instance = settings.instance,
            service = settings.service,
            dataCentre = settings.dataCentre,
            controlAddress = settings.addresses.control,
            frameAddress = settings.addresses.frames,
            serverAddress = settings.backendServer,
        )
    }

    private fun FleetInstance.isServing(): Boolean {
        val table = node.routing.current.table ?: return false
        return table.held.isEmpty()
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val PORTS_PER_NODE = 4
        val POLL_INTERVAL = 5.milliseconds
        val CALLERS_TURN_AWAY = 100.milliseconds
    }
}
