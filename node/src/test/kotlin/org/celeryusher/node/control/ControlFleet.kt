package org.celeryusher.node.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.node.runtime.SharedResources
import org.celeryusher.node.runtime.freeLoopbackAddresses
import org.celeryusher.node.settings.NodeSettings
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Nodes on loopback with a fake platform. Every wait has a timeout. */
internal class ControlFleet(
    size: Int,
    secret: String? = null,
    changed: (NodeSettings) -> NodeSettings = { it },
) : AutoCloseable {
    val platform = FakePlatform()
    private val resources = SharedResources()
    private val addresses = freeLoopbackAddresses(size)
    private val scopes = mutableMapOf<ControlNode, CoroutineScope>()
    private var nextProcessStart = 1L
    val nodes =
        MutableList(size) { index ->
            val seeds = addresses.take(2) - addresses[index]
            newNode(changed(ControlNode.settingsOf(index, addresses[index], platform.address, seeds, secret)))
        }

    suspend fun startAll() = nodes.forEach { start(it) }

    suspend fun start(node: ControlNode) {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        scopes[node] = scope
        node.start(scope)
    }

    /** Ends [node] at once, as a killed process would end. */
    suspend fun kill(node: ControlNode) {
        scopes.remove(node)?.cancel()
        node.kill()
    }

    /** Replaces the node at [index], which must have ended, by a new process with the same settings, and starts it. */
    suspend fun restart(index: Int): ControlNode {
        nodes[index] = newNode(nodes[index].settings)
        start(nodes[index])
        return nodes[index]
    }

    /** Waits until [condition] holds for each node in [on]; fails with [what] after [limit]. */
    suspend fun await(
        what: String,
        limit: Duration = 15.seconds,
        on: List<ControlNode> = nodes,
        condition: (ControlNode) -> Boolean,
    ) {
        withTimeoutOrNull(limit) {
            while (!on.all(condition)) delay(POLL_INTERVAL)
        } ?: fail("$what: not reached by ${on.filterNot(condition).map { it.control.status() }}")
    }

    suspend fun awaitVersion(
        version: Long,
        on: List<ControlNode> = nodes,
    ): Unit = await("version $version", on = on) { it.version == version }

    suspend fun awaitFullMembership(): Unit =
        await("all nodes have the incarnation of each member") { node ->
            node.routing.current.view.members
                .count { it.incarnation != null } == nodes.size
        }

    override fun close(): Unit =
        runBlocking {
            scopes.values.forEach { it.cancel() }
            nodes.forEach { withTimeoutOrNull(CLOSE_TIMEOUT) { it.kill() } }
            resources.close()
            platform.close()
        }

    private fun newNode(settings: NodeSettings): ControlNode = ControlNode(settings, nextProcessStart++, resources)

    private companion object {
        val POLL_INTERVAL = 10.milliseconds
        val CLOSE_TIMEOUT = 2.seconds
    }
}
