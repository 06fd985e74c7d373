package org.celeryusher.node.call

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.admission.LinkSchedule
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.distribution.ConfigurationChange
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.membership.Evacuation
import org.celeryusher.kernel.membership.EvacuationSet
import org.celeryusher.kernel.membership.ListedServer
import org.celeryusher.kernel.membership.ListedServerState
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.kernel.membership.ServerListChanges
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.metrics.TransferForm
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a node that keeps following a reader whose data has grown old. */
class SourceRelayTest {
    private val start = Moment(0)
    private var now = start

    @Test
    fun theAgeOfAnAnswerIsThatOfTheOlderOfListAndConfiguration() {
        data class Case(
            val name: String,
            val listConfirmedAt: Int?,
            val configurationConfirmedAt: Int?,
            val expectedAge: Long?,
        )
        val cases =
            listOf(
                Case("nothing known", null, null, null),
                Case("no configuration yet", 5_000, null, null),
                Case("no list yet", null, 5_000, null),
                Case("both recent", 4_900, 4_800, 200),
                Case("old configuration", 4_900, 1_000, 4_000),
                Case("old list", 1_000, 4_900, 4_000),
            )
        for (case in cases) {
            now = start
            val relay = SourceRelay { now }
            case.listConfirmedAt?.let { relay.listConfirmed(start + it.milliseconds) }
            case.configurationConfirmedAt?.let { relay.configurationConfirmed(start + it.milliseconds) }
            now = start + 5_000.milliseconds
            val query = Frame.SourceQuery(1, processStart = 1, cursor = 0, version = null, waitMilliseconds = 0)
            val update = runBlocking { relay.answer(query, processStart = 1) { Uptime(0) } }
            assertEquals(case.expectedAge, update.ageMilliseconds, case.name)
        }
    }

    /** Guards against fields of a query that are lost when it is sent, such as the evacuations that the sender knows. */
    @Test
    fun aQueryKeepsAllFieldsWhenItIsNumbered() {
        val query = Frame.SourceQuery(0, 2, 3, 4, 5, 6, InstanceName("i"), acceptsOldData = true, ConfigurationDigest(7, 8), true, 9)
        val expected = Frame.SourceQuery(9, 2, 3, 4, 5, 6, InstanceName("i"), acceptsOldData = true, ConfigurationDigest(7, 8), true, 9)
        assertContentEquals(FrameCodec.encode(expected), FrameCodec.encode(query.withExchange(9)))
    }

    /** Guards against nodes that hear of an evacuation only when their query ends, and against queries that end without news. */
    @Test
    fun aHeldQueryIsAnsweredOnceThereIsALaterEvacuation() {
        val cases = mapOf<Long?, Boolean>(4L to true, 0L to true, 5L to false, 6L to false, null to false)
        for ((known, isNews) in cases) {
            val relay = SourceRelay { now }
            relay.listConfirmed(now)
            relay.configurationConfirmed(now)
            val query = Frame.SourceQuery(1, 1, cursor = 0, version = null, waitMilliseconds = 900, evacuationsChangedAt = known)
            val isAnswered =
                runBlocking {
                    val answer = async { relay.answer(query, processStart = 1) { Uptime(0) } }
                    delay(20.milliseconds)
                    relay.updateEvacuations(EvacuationSet(7, 5, listOf(Evacuation(DataCentreName("a"), 5))))
                    withTimeoutOrNull(300.milliseconds) { answer.await() }.also { answer.cancel() }
                }
            assertEquals(isNews, isAnswered?.evacuations != null, "known up to $known")
        }
    }

    /** Guards against whole documents for nodes that need a change, and against changes for nodes of an earlier version, which know none. */
    @Test
    fun aNodeGetsAConfigurationInTheFormThatItTakes() {
        data class Case(
            val name: String,
            val query: Frame.SourceQuery,
            val hasDocument: Boolean,
            val changes: Int?,
            val isNewer: Boolean,
        )

        fun query(
            version: Long,
            held: ConfigurationDigest?,
            wantsDocument: Boolean = false,
        ) = Frame.SourceQuery(1, 1, 0, version, 0, held = held, wantsDocument = wantsDocument)
        val digests = List(4) { ConfigurationDigest(it.toLong(), it * 10L) }
        val relay = SourceRelay { now }
        relay.updateConfiguration(digests[1], ByteArray(50_000))
        for (version in 2..3) {
            val change = ConfigurationChange(digests[version - 1], digests[version], ByteArray(20))
            relay.updateConfiguration(digests[version], ByteArray(50_000), listOf(change))
        }
        val cases =
            listOf(
                Case("one version behind", query(2, digests[2]), hasDocument = false, changes = 1, isNewer = true),
                Case("two versions behind", query(1, digests[1]), hasDocument = false, changes = 2, isNewer = true),
                Case("fallen out of the history", query(0, digests[0]), hasDocument = false, changes = null, isNewer = true),
                Case("asks for the document", query(0, null, wantsDocument = true), hasDocument = true, changes = null, isNewer = false),
                Case("awaits the newest document", query(3, digests[0]), hasDocument = false, changes = null, isNewer = false),
                Case("an earlier version", query(2, null), hasDocument = true, changes = null, isNewer = false),
                Case("nothing new", query(3, digests[3]), hasDocument = false, changes = null, isNewer = false),
            )
        for (case in cases) {
            val update = runBlocking { relay.answer(case.query, processStart = 1) { Uptime(0) } }
            assertEquals(case.hasDocument, update.configuration != null, case.name)
            assertEquals(case.changes, update.changes?.size, case.name)
            assertEquals(digests[3].takeIf { case.isNewer }, update.newest, case.name)
            val sent = FrameCodec.decode(FrameCodec.encode(update)) as Frame.SourceUpdate
            assertEquals(update.changes?.map { it.target }, sent.changes?.map { it.target }, case.name)
        }
        assertEquals(60, relay.counts.sentBytesOf(TransferForm.CHANGES))
        assertEquals(2, relay.counts.sentOf(TransferForm.DOCUMENT))
    }

    /** Guards against an old version that is taken for the newest one because a newer one is being transferred. */
    @Test
    fun aTransferHidesNoVersionThatIsNotInForceAtTheAsker() {
        data class Case(
            val held: Long,
            val awaited: Long?,
            val isHeldBack: Boolean,
            val newest: Long?,
            val changes: Int?,
        )
        val cases =
            listOf(
                Case(held = 12, awaited = null, isHeldBack = true, newest = null, changes = null),
                Case(held = 10, awaited = null, isHeldBack = false, newest = 12, changes = 1),
                Case(held = 7, awaited = null, isHeldBack = false, newest = 12, changes = null),
                Case(held = 7, awaited = 11, isHeldBack = false, newest = 12, changes = null),
                Case(held = 7, awaited = 12, isHeldBack = true, newest = 12, changes = null),
                Case(held = 10, awaited = 12, isHeldBack = false, newest = 12, changes = 1),
            )
        val digests = List(13) { ConfigurationDigest(it.toLong(), it * 10L) }
        for (case in cases) {
            val relay = SourceRelay { now }
            relay.updateConfiguration(digests[10], ByteArray(100))
            relay.updateConfiguration(digests[12], ByteArray(100), listOf(ConfigurationChange(digests[10], digests[12], ByteArray(10))))
            relay.listConfirmed(now)
            relay.configurationConfirmed(now)
            val held = digests[case.held.toInt()]
            val query = Frame.SourceQuery(1, 1, cursor = 0, case.held, waitMilliseconds = 200, held = held, awaited = case.awaited)
            val update =
                runBlocking {
                    val answer = async { relay.answer(query, processStart = 1) { Uptime(0) } }
                    delay(100.milliseconds)
                    assertEquals(case.isHeldBack, answer.isActive, "$case")
                    answer.await()
                }
            assertEquals(case.newest, update.newest?.version, "$case")
            assertEquals(case.changes, update.changes?.size, "$case")
        }
    }

    /** Guards against lists that wait for their turn on a slow link, and against damaged ones. */
    @Test
    fun aCompleteListIsSmallForANodeThatTakesItCompressed() {
        val digest = ConfigurationDigest(1, 1)
        val relay = SourceRelay { now }
        relay.listConfirmed(now)
        relay.configurationConfirmed(now)
        val servers = List(100) { ServerListChange.Written(serverAt(it), revision = it + 1L, createdRevision = 1L) }
        relay.updateServers(servers, StorePosition(0, 200))
        for (held in listOf(digest, null)) {
            val query = Frame.SourceQuery(1, version = 1, waitMilliseconds = 0, held = held)
            val update = runBlocking { relay.answer(query, processStart = 1) { Uptime(0) } }
            val isSmall = FrameCodec.encode(update).size < LinkSchedule.PART_BYTES
            assertEquals(held != null, isSmall, "held $held: ${FrameCodec.encode(update).size} bytes")
            val list = update.servers ?: update.compressedServers?.let(ServerListCompression::expandOrNull)
            assertEquals(servers.toSet(), list?.changes?.toSet(), "held $held")
        }
        val compressed = ServerListCompression.compress(ServerListChanges(servers, 100, true))
        assertNull(ServerListCompression.expandOrNull(compressed.copyOf(compressed.size / 2)))
        assertNull(ServerListCompression.expandOrNull(ByteArray(100)))
    }

    private fun serverAt(index: Int) =
        ListedServer(
            InstanceName("i-d0b35f04$index"),
            ServiceName("reservas"),
            DataCentreName("sierra-a"),
            Address("10.1.0.$index", 8_684),
            slots = 6,
            state = ListedServerState.READY,
            slowStartRemaining = 500.milliseconds,
            sequenceNumber = 10L,
            startedAtMilliseconds = 1_775_000_000_000L + index,
        )
}
