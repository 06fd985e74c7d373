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

/** Some nodes over loopback beside a fake platform. Every wait is bounded. */
internal class ControlFleet(
    size: Int,
    secret: String? = null,
    changed: (NodeSettings) -> NodeSettings = { it },
) : AutoCloseable {
    val platform = FakePlatform()
    private val resources = SharedResources()
    private val addresses = freeLoopbackAddresses(size)
    private val scopes = mutableMapOf<ControlNode, CoroutineScope>()
    private var lives = 1L
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

    /** Ends the process of [node] at once. */
    suspend fun kill(node: ControlNode) {
        scopes.remove(node)?.cancel()
        node.kill()
    }

    /** Puts a new process in the place of the one at [index], which must have ended. */
    suspend fun restart(index: Int): ControlNode {
        nodes[index] = newNode(nodes[index].settings)
        start(nodes[index])
        return nodes[index]
    }

    /** Waits until [condition] holds on [on]. */
    suspend fun await(
        what: String,
        limit: Duration = 15.seconds,
        on: List<ControlNode> = nodes,
        condition: (ControlNode) -> Boolean,
    ) {
        withTimeoutOrNull(limit) {
            while (!on.all(condition)) delay(POLL_INTERVAL)
        } ?: fail("$what: not so on ${on.filterNot(condition).map { it.control.status() }}")
    }

    suspend fun awaitVersion(
        version: Long,
        on: List<ControlNode> = nodes,
    ): Unit = await("version $version", on = on) { it.version == version }

    suspend fun awaitAcquaintance(): Unit =
        await("all know all") { node ->
            node.routing.current.view.members
                .count { it.incarnation != null } == nodes.size
        }

    override fun close(): Unit =
        runBlocking {
            scopes.values.forEach { it.cancel() }
            nodes.forEach { withTimeoutOrNull(CLOSE_LIMIT) { it.kill() } }
            resources.close()
            platform.close()
        }

    private fun newNode(settings: NodeSettings): ControlNode = ControlNode(settings, lives++, resources)

    private companion object {
        val POLL_INTERVAL = 10.milliseconds
        val CLOSE_LIMIT = 2.seconds
    }
}
