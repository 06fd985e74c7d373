package org.celeryusher.node.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.PlatformInstanceState
import org.celeryusher.node.settings.NodeSettings
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration.ofSeconds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class ControlPlaneTest {
    private fun withFleet(
        size: Int,
        secret: String? = null,
        changed: (NodeSettings) -> NodeSettings = { it },
        check: suspend ControlFleet.() -> Unit,
    ) = runBlocking { ControlFleet(size, secret, changed).use { it.check() } }

    @Test
    fun aNewVersionReachesAllNodesAndAnInvalidVersionIsRefused() =
        withFleet(8, SECRET) {
            platform.publish(1, Documents.text(1, routes = 300))
            startAll()
            awaitVersion(1)
            awaitFullMembership()
            platform.publish(2, Documents.invalid(2))
            val readers =
                nodes.filter {
                    it.control
                        .status()
                        .configurationSource.readerPosition == 0
                }
            await("version 2 is refused by the readers", on = readers) {
                it.control
                    .status()
                    .refused
                    .isNotEmpty()
            }
            assertTrue(nodes.all { it.version == 1L })
            platform.publish(3, Documents.text(3, deadline = 3_000, routes = 300))
            awaitVersion(3)
            val fromPeers =
                nodes.map { it.control.status() }.count {
                    it.configuration
                        ?.source
                        .orEmpty()
                        .startsWith("peer")
                }
            assertTrue(fromPeers > 0, "all nodes read the platform")
            val refusals = nodes.flatMap { it.control.status().refused }
            assertTrue(refusals.all { it.version == 2L && "nowhere" in it.faults.single() }, refusals.toString())
        }

    @Test
    fun restartedNodesTakeTheVersionOfPeersAndNeverAnOlderOneOfAStalePlatform() =
        withFleet(6) {
            platform.publish(7, Documents.text(7))
            startAll()
            awaitVersion(7)
            awaitFullMembership()
            platform.isUnavailable = true
            kill(nodes[5])
            awaitVersion(7, listOf(restart(5)))
            platform.publish(6, Documents.text(6))
            platform.isUnavailable = false
            listOf(0, 3).forEach { kill(nodes[it]) }
            val restarted = listOf(0, 3).map { restart(it) }
            val seen = mutableSetOf<Long?>()
            await("version 7", on = restarted) { node -> node.version.also(seen::add) == 7L }
            assertEquals(emptySet(), seen - setOf(null, 7L))
        }

    @Test
    fun conflictingDocumentsOfOneVersionAreReportedUntilTheNextVersion() =
        withFleet(5) {
            platform.publish(3, Documents.text(3))
            startAll()
            awaitVersion(3)
            awaitFullMembership()
            val answered = announceUnpublished(nodes[0], version = 4)
            assertEquals(200, answered.statusCode())
            platform.publish(4, Documents.text(4))
            awaitVersion(4)
            announceUnpublished(nodes[0], version = 4)
            assertEquals(
                listOf(4L),
                nodes[0]
                    .control
                    .status()
                    .conflicts
                    .map { it.version },
            )
            platform.publish(5, Documents.text(5))
            awaitVersion(5)
            assertEquals(emptyList(), nodes[0].control.status().conflicts)
        }

    @Test
    fun otherNodesTakeOverFromADeadReader() =
        withFleet(6) {
            platform.publish(1, Documents.text(1))
            startAll()
            awaitVersion(1)
            awaitFullMembership()
            val readers =
                nodes.filter {
                    it.control
                        .status()
                        .configurationSource.readerPosition == 0
                }
            assertEquals(2, readers.size, "one reader in each data centre")
            readers.forEach { kill(it) }
            platform.publish(2, Documents.text(2))
            awaitVersion(2, nodes - readers.toSet())
        }

    @Test
    fun anIdleFleetSendsFewRequestsToThePlatform() =
        withFleet(8) {
            platform.publish(1, Documents.text(1))
            startAll()
            awaitVersion(1)
            awaitFullMembership()
            val before = platform.calls.get()
            delay(OBSERVATION)
            val calls = platform.calls.get() - before
            val readers = 2
            assertTrue(calls <= readers * 2 * (OBSERVATION.inWholeSeconds + 1), "$calls requests in $OBSERVATION")
            assertEquals(
                nodes.sumOf {
                    it.control
                        .status()
                        .traffic.platformCalls
                },
                platform.calls.get().toLong(),
            )
        }

    @Test
    fun allNodesLearnThatANodeIsLeavingOrDead() =
        withFleet(6) {
            platform.publish(1, Documents.text(1))
            platform.list(nodes.map { it.settings.listed() })
            startAll()
            awaitFullMembership()
            await("all nodes hold the instance list") { it.control.status().instancesRevision == 2L }
            nodes[2].control.leave()
            nodes[3].control.updateBackendServerState(BackendServerState.DRAINING)
            platform.list(nodes.mapIndexed { index, it -> it.settings.listed(if (index == 4) LISTED_LEAVING else LISTED_LIVE) })
            await("three nodes are leaving", limit = 8.seconds) { node ->
                listOf(2, 3, 4).all { node.stateOf(nodes[it]) == MemberState.LEAVING }
            }
            assertTrue(nodes[4].control.status().isLeaving)
            kill(nodes[5])
            await("the dead node is suspected or dead", on = nodes.take(2)) {
                it.stateOf(nodes[5]) in
                    setOf(MemberState.SUSPECTED, MemberState.DEAD)
            }
        }

    @Test
    fun aNodeThatReadsThePlatformDirectlyGetsConfigurationAndMembersFromIt() =
        withFleet(1, changed = { it.copy(control = it.control.copy(readsPlatformAlone = true, watchMilliseconds = 500)) }) {
            platform.publish(1, Documents.text(1))
            platform.list(nodes.map { it.settings.listed() })
            startAll()
            await("version 1 and the list") { it.version == 1L && it.stateOf(it) == MemberState.LIVE }
            assertFalse(nodes[0].control.needsRefresh)
        }

    @Test
    fun unsignedMalformedAndTooLargeMessagesAreRefusedAndTheNodeKeepsRunning() {
        val body = """{"from":{"i":"x","n":5},"hash":1}"""
        val cases =
            listOf(
                Case("unsigned", SECRET, body.encodeToByteArray(), 401, "MESSAGE_UNAUTHENTICATED"),
                Case("not JSON", null, "{".encodeToByteArray(), 400, "MESSAGE_MALFORMED"),
                Case("an array instead of an object", null, "[]".encodeToByteArray(), 400, "MESSAGE_MALFORMED"),
                Case("not UTF-8", null, byteArrayOf(0x22, 0xC3.toByte(), 0x28, 0x22), 400, "MESSAGE_MALFORMED"),
                Case("too large", null, ByteArray(100_001) { 'x'.code.toByte() }, 400, "MESSAGE_MALFORMED"),
                Case("valid", null, body.encodeToByteArray(), 200, ""),
            )
        for ((secret, sameSecret) in cases.groupBy(Case::secret)) {
            withFleet(1, secret) {
                startAll()
                for (case in sameSecret) {
                    val answer = post("http://${nodes[0].settings.addresses.control}/control/gossip", case.body)
                    assertEquals(case.status, answer.statusCode(), case.name)
                    assertEquals(case.error, answer.headers().firstValue("Celeryusher-Error").orElse(""), case.name)
                }
                val traffic = nodes[0].control.status().traffic
                assertEquals(sameSecret.count { it.status == 400 }.toLong(), traffic.malformedMessages)
                assertEquals(sameSecret.count { it.status == 401 }.toLong(), traffic.unauthenticatedMessages)
                assertNotNull(nodes[0].control.status().members)
            }
        }
    }

    /** Announces to [node] that a peer has [version] in force with content that was never published. */
    private fun announceUnpublished(
        node: ControlNode,
        version: Long,
    ): HttpResponse<String> {
        val announcement =
            """{"sender":"x","dataCentre":"antwerp-1","controlAddress":"127.0.0.1:1","inForce":{"version":$version,"contentHash":17}}"""
        return post("http://${node.settings.addresses.control}/control/configuration", announcement.encodeToByteArray())
    }

    private data class Case(
        val name: String,
        val secret: String?,
        val body: ByteArray,
        val status: Int,
        val error: String,
    )

    private fun post(
        address: String,
        body: ByteArray,
    ): HttpResponse<String> =
        HttpClient.newHttpClient().send(
            HttpRequest
                .newBuilder(URI(address))
                .timeout(ofSeconds(10))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    private companion object {
        const val SECRET = "a secret of the fleet"
        val LISTED_LEAVING = PlatformInstanceState.LEAVING
        val LISTED_LIVE = PlatformInstanceState.LIVE
        val OBSERVATION = 4.seconds
    }
}
