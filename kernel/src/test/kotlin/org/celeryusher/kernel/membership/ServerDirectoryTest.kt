package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ServerDirectoryTest {
    private val start = Moment(0)

    @Test
    fun anOlderStateNeverReplacesANewerOne() {
        data class Case(
            val name: String,
            val changes: List<ServerListChange>,
            val expected: List<String>,
        )
        val cases =
            listOf(
                Case("written", listOf(written("a", 5)), listOf("a READY")),
                Case("draining", listOf(written("a", 5), written("a", 6, ListedServerState.DRAINING, 2)), listOf("a DRAINING")),
                Case("late copy", listOf(written("a", 6, ListedServerState.DRAINING, 2), written("a", 5)), listOf("a DRAINING")),
                Case(
                    "late writer",
                    listOf(written("a", 5, ListedServerState.DRAINING, 2), written("a", 6, heartbeat = 1)),
                    listOf("a DRAINING"),
                ),
                Case("new life", listOf(written("a", 5, ListedServerState.DRAINING, 9), written("a", 6, born = 2)), listOf("a READY")),
                Case(
                    "life before",
                    listOf(written("a", 5, born = 2), written("a", 6, ListedServerState.DRAINING, 9, born = 1)),
                    listOf("a READY"),
                ),
                Case("removed", listOf(written("a", 5), removed("a", 6)), emptyList()),
                Case("late removal", listOf(written("a", 6), removed("a", 5)), listOf("a READY")),
                Case("written after its removal came", listOf(removed("a", 6), written("a", 5)), emptyList()),
                Case("back", listOf(written("a", 5), removed("a", 6), written("a", 7)), listOf("a READY")),
                Case("same address", listOf(written("a", 5), written("b", 6, port = 1)), listOf("b READY")),
                Case("two addresses", listOf(written("a", 5), written("b", 6, port = 2)), listOf("a READY", "b READY")),
            )
        for (case in cases) {
            val directory = ServerDirectory()
            case.changes.forEach { directory.apply(it, start) }
            assertEquals(case.expected, directory.named(start), case.name)
        }
    }

    @Test
    fun aFullReadRemovesWhatItLacks() {
        val directory = ServerDirectory()
        directory.apply(written("a", 5), start)
        directory.apply(written("late", 30, port = 3), start)
        directory.replaceAll(listOf(written("b", 12, port = 2)), startRevision = 20, start)
        assertEquals(listOf("b READY", "late READY"), directory.named(start), "what was written after the read began stays")
        assertEquals(30, directory.revision)
    }

    @Test
    fun entriesThatLapsedInAnOutageStayUntilTheGraceIsOver() {
        val directory = ServerDirectory(lapseGrace = 2.seconds)
        listOf("a" to 1, "b" to 2).forEach { (name, port) -> directory.apply(written(name, 5, port = port), start) }
        directory.sourceFailed(start + 1.seconds)
        directory.sourceFailed(start + 5.seconds)
        val back = start + 9.seconds
        directory.sourceAnswered(back)
        directory.apply(removed("a", 7), back)
        directory.apply(removed("b", 8), back + 1.seconds)
        assertEquals(listOf("a READY", "b READY"), directory.named(back + 1_999.milliseconds))
        assertEquals(back + 2.seconds, directory.nextChange(back + 1.seconds))
        directory.apply(written("b", 9, port = 2), back + 1_500.milliseconds)
        assertEquals(listOf("b READY"), directory.named(back + 2.seconds), "a did not come back")
        directory.apply(removed("b", 10), back + 3.seconds)
        assertEquals(emptyList(), directory.named(back + 3.seconds), "the outage is over")
    }

    @Test
    fun aFullReadAfterAnOutageCountsAsLapseToo() {
        val directory = ServerDirectory()
        directory.apply(written("a", 5), start)
        directory.sourceFailed(start)
        directory.sourceAnswered(start + 9.seconds)
        directory.replaceAll(emptyList(), startRevision = 40, start + 9.seconds)
        assertEquals(listOf("a READY"), directory.named(start + 10.seconds))
        directory.replaceAll(emptyList(), startRevision = 41, start + 10.seconds)
        assertEquals(listOf("a READY"), directory.named(start + 10.seconds), "reading again does not end the grace")
        assertEquals(emptyList(), directory.named(start + 11.seconds))
    }

    @Test
    fun withoutAnOutageARemovalHoldsAtOnce() {
        for (age in listOf(Duration.ZERO, 1.seconds, 1_000.seconds)) {
            val directory = ServerDirectory()
            directory.sourceAnswered(start)
            directory.apply(written("a", 5), start)
            directory.apply(removed("a", 6), start + age)
            assertEquals(emptyList(), directory.named(start + age), "$age after the first answer")
        }
    }

    private fun ServerDirectory.named(now: Moment): List<String> = servers(now).map { "${it.instance} ${it.state}" }.sorted()

    private fun removed(
        name: String,
        revision: Long,
    ) = ServerListChange.Removed(InstanceName(name), revision)

    private fun written(
        name: String,
        revision: Long,
        state: ListedServerState = ListedServerState.READY,
        heartbeat: Long = 1,
        born: Long = 1,
        port: Int = 1,
    ) = ServerListChange.Written(
        ListedServer(
            InstanceName(name),
            ServiceName("desk"),
            DataCentreName("east"),
            Address("10.0.0.1", port),
            slots = 6,
            state,
            Duration.ZERO,
            heartbeat,
            born,
        ),
        revision,
        createdRevision = revision,
    )
}
