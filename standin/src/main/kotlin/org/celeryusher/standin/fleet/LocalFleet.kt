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
import org.celeryusher.standin.server.WorkRunCounter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An instance of a [LocalFleet]: a real node and the backend server stand-in that belongs to it. */
public class FleetInstance(
    public val node: Node,
    public val server: BackendServerStandIn,
) {
    /** The instance's name. */
    public val name: InstanceName get() = node.settings.instance

    /** Whether callers may still use the node. */
    @Volatile
    public var isInUse: Boolean = true
        internal set

    /** Version of the configuration in force on the node, or null if it has none yet. */
    public val version: Long? get() =
        node.routing.current.snapshot
            ?.digest
            ?.version
}

/** A fleet of real nodes with backend server stand-ins and a platform stand-in, all in this process on loopback. */
public class LocalFleet(
    public val shape: DeploymentShape,
    private val control: ControlSettings = ControlSettings(),
    platformOptions: PlatformOptions = PlatformOptions(),
) {
    /** The platform stand-in. */
    public val platform: PlatformStandIn = PlatformStandIn(platformOptions)

    /** Counts the runs of work on all backend servers. */
    public val runCounter: WorkRunCounter = WorkRunCounter()

    /** All instances, including stopped ones. */
    public lateinit var instances: List<FleetInstance>
        private set

    private val resources = SharedResources()

    /** The instances whose nodes callers may use. */
    public val inUse: List<FleetInstance> get() = instances.filter(FleetInstance::isInUse)

    /** Starts the fleet. Returns true once every node has a configuration in force and all routes resolved, or false after [limit]. */
    public suspend fun start(limit: Duration = 30.seconds): Boolean {
        platform.start()
        platform.publish(shape.document)
        val ports = FreePorts.find(shape.instances * PORTS_PER_NODE).chunked(PORTS_PER_NODE)
        instances =
            shape.services.flatMap { service -> (1..service.servers).map { service to it } }.mapIndexed { index, (service, number) ->
                createInstance(service, number, index, ports[index])
            }
        platform.setInstances(instances.map(::platformEntryOf))
        coroutineScope { instances.map { async { it.node.start() } }.awaitAll() }
        return awaitAll(limit) { it.isServing() }
    }

    /** Waits until [condition] holds for each instance in use. Returns false if [limit] passes first. */
    public suspend fun awaitAll(
        limit: Duration,
        condition: (FleetInstance) -> Boolean,
    ): Boolean =
        withTimeoutOrNull(limit) {
            while (!inUse.all(condition)) delay(POLL_INTERVAL)
            true
        } ?: false

    /** Stops the node and the backend server of [instance] abruptly. The platform's instance list still contains it. */
    public suspend fun kill(instance: FleetInstance) {
        instance.isInUse = false
        instance.server.crash()
        instance.node.halt()
    }

    /** Stops [instance] in order: callers switch to other nodes, the node stops gracefully, then the backend server stops. */
    public suspend fun stopGracefully(instance: FleetInstance) {
        instance.isInUse = false
        delay(CALLER_SWITCH_DELAY)
        instance.node.stop()
        instance.server.stop()
    }

    /** Stops all nodes and stand-ins that still run. */
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
        val server = BackendServerStandIn(name, shape.profileOf(service, seed = index.toLong()), runCounter).start()
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

    private fun platformEntryOf(instance: FleetInstance): PlatformInstance {
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
        val CALLER_SWITCH_DELAY = 100.milliseconds
    }
}
