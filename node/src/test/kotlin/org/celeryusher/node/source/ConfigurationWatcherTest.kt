package org.celeryusher.node.source

import kotlinx.coroutines.runBlocking
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeAddresses
import org.celeryusher.node.settings.NodeSettings
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

class ConfigurationWatcherTest {
    private val clock = ProcessClock.SYSTEM
    private val instance = InstanceName("node-1")
    private val peer = InstanceName("peer")
    private val settings =
        NodeSettings(
            instance = instance,
            service = ServiceName("desk"),
            dataCentre = DataCentreName("east"),
            addresses =
                NodeAddresses(Address("127.0.0.1", 1), Address("127.0.0.1", 2), Address("127.0.0.1", 3), Address("127.0.0.1", 4)),
            backendServer = Address("127.0.0.1", 5),
            platform = Address("127.0.0.1", 6),
        )
    private val routing = RoutingState(FleetPlace(settings.dataCentre, settings.service, instance))
    private val decisions = DecisionLog(instance, clock)
    private val relay = SourceRelay(clock)

    /**
     * Guards against a node that is late because it begins to read the platform after it has followed other nodes, and is sent the whole
     * document of each version since its own last read, although it has them all.
     */
    @Test
    fun aNodeThatHasFollowedOthersReadsAtMostOneDocumentWhenItReadsThePlatformAgain() =
        runBlocking {
            val platform = StoreOfVersions()
            val evacuations = EvacuationWatcher(routing, decisions, relay)
            val eras = StoreEraWatcher(decisions) {}
            val watcher = ConfigurationWatcher(settings, platform, routing, clock, Random(1), decisions, relay, evacuations, eras)
            platform.publish()
            watcher.readPlatform()
            repeat(VERSIONS) {
                platform.publish()
                assertTrue(watcher.offerRelayed(compressed(platform.version), peer))
                watcher.confirmed(clock.now())
            }
            watcher.readPlatform()
            platform.publish()
            watcher.readPlatform()
            assertEquals(platform.version, watcher.version)
            assertTrue(platform.documentsSent.all { it <= 1 }, "documents in the answers: ${platform.documentsSent}")
        }

    /** A store whose watches return each version since their position, as the users' store does. The revision is the version. */
    private inner class StoreOfVersions : PlatformReader {
        var version = 0L
            private set
        val documentsSent = mutableListOf<Int>()

        fun publish() {
            version++
        }

        override suspend fun readOperatorData(read: SourceRead): PlatformReadResult<OperatorData> {
            val documents =
                when (read) {
                    is SourceRead.Complete -> 1
                    is SourceRead.Watch -> (version - read.position.revision).toInt()
                }
            documentsSent += documents
            val newest = if (documents > 0) decodeConfiguration(textOf(version)) else null
            return PlatformReadResult.Value(OperatorData(newest), version)
        }

        override suspend fun readEvacuations(timeout: Duration) = error("not read in this test")

        override fun decodeConfiguration(bytes: ByteArray) =
            PublishedConfiguration(bytes, ConfigurationParser.parse(bytes).map { it.document })

        override suspend fun readServers(read: SourceRead) = error("not read in this test")
    }

    private fun textOf(version: Long): ByteArray =
        """
        {"version":$version,
         "defaults":{"deadlineMilliseconds":2000},
         "ranks":[{"name":"urgent","guaranteedShare":0.5}],
         "services":[{"name":"desk","slots":6,"connections":130}],
         "routes":[{"name":"read","method":"GET","pathPrefix":"/read","service":"desk","rank":"urgent","idempotent":true}]}
        """.trimIndent().encodeToByteArray()

    private fun compressed(version: Long): ByteArray =
        ByteArrayOutputStream().also { output -> GZIPOutputStream(output).use { it.write(textOf(version)) } }.toByteArray()

    private companion object {
        /** As many as a node of a large deployment follows within some seconds. */
        const val VERSIONS = 20
    }
}
