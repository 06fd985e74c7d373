package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds

class TicketTest {
    private val owner = InstanceName("billing-desk-1")
    private val route = RouteName("collect")
    private val collection = RequestFingerprint.of("POST", "/collections", "hospital 1".encodeToByteArray())
    private val other = RequestFingerprint.of("POST", "/collections", "hospital 2".encodeToByteArray())
    private val limits = TicketLimits(2, validity = 100.milliseconds, retention = 50.milliseconds, maximumAnswerBytes = 4)
    private val registry = TicketRegistry(owner, processStart = 7, limits)
    private val ticket = issue(at = 0)

    private fun issue(at: Long) = checkNotNull(registry.issue(route, Uptime(at), Random(at)).getOrNull())

    private fun use(
        at: Long,
        fingerprint: RequestFingerprint = collection,
        used: Ticket = ticket,
        on: RouteName = route,
    ): TicketUse = registry.use(used, on, fingerprint, Uptime(at))

    private fun refused(kind: ErrorKind): TicketUse = TicketUse.Refused(kind)

    private fun recordedAt(time: Long): TicketRecord = assertIs<TicketUse.Recorded>(use(time)).record

    @Test
    fun theTextFormRoundTripsAndCorruptionIsDetected() {
        val text = ticket.encode()
        assertEquals(ticket, Ticket.decode(text).getOrNull())
        val damaged =
            listOf("", "x", "no ticket", text.dropLast(1), text + "A", text.reversed(), "A".repeat(5_000)) +
                text.indices.map { text.replaceRange(it, it + 1, if (text[it] == 'A') "B" else "A") }
        for (wrong in damaged) {
            // Base64 ignores some bits of the last character, so a change of that character may be undetected.
            Ticket.decode(wrong).fold({ assertEquals(ErrorKind.TICKET_INVALID, it) }, { assertEquals(ticket, it, wrong) })
        }
    }

    @Test
    fun workRunsOnceAndItsAnswerIsStored() {
        assertEquals(TicketUse.Run, use(at = 10))
        assertEquals(TicketUse.InProgress, use(at = 20))
        assertEquals(refused(ErrorKind.TICKET_REUSED), use(at = 20, other))
        registry.finish(ticket.id, Outcome.Ran(201), byteArrayOf(1, 2), Uptime(30))
        registry.finish(ticket.id, Outcome.NotRun(ErrorKind.DRAINING), null, Uptime(31))
        assertEquals(Outcome.Ran(201), recordedAt(149).outcome)
        assertContentEquals(byteArrayOf(1, 2), recordedAt(149).answer)
        assertEquals(refused(ErrorKind.TICKET_REUSED), use(at = 149, other))
        assertEquals(refused(ErrorKind.TICKET_OWNER_GONE), use(at = 150), "the outcome is unknown after the retention")
    }

    @Test
    fun notRunIsFinalAndUnknownMayBeReplaced() {
        val outcomes =
            listOf(
                Triple(Outcome.NotRun(ErrorKind.OVERLOADED), Outcome.Ran(200), Outcome.NotRun(ErrorKind.OVERLOADED)),
                Triple(Outcome.Unknown(ErrorKind.CONNECTION_LOST), Outcome.Ran(200), Outcome.Ran(200)),
                Triple(
                    Outcome.Unknown(ErrorKind.CONNECTION_LOST),
                    Outcome.NotRun(ErrorKind.CANCELLED_BEFORE_START),
                    Outcome.NotRun(ErrorKind.CANCELLED_BEFORE_START),
                ),
            )
        for ((first, second, expected) in outcomes) {
            val registry = TicketRegistry(owner, processStart = 7, limits)
            val ticket = checkNotNull(registry.issue(route, Uptime(0), Random(0)).getOrNull())
            assertEquals(TicketUse.Run, registry.use(ticket, route, collection, Uptime(1)))
            registry.finish(ticket.id, first, null, Uptime(2))
            registry.finish(ticket.id, second, null, Uptime(3))
            val use = registry.use(ticket, route, collection, Uptime(4))
            assertEquals(expected, assertIs<TicketUse.Recorded>(use).record.outcome)
        }
    }

    @Test
    fun eachInvalidTicketIsRefusedWithItsErrorKind() {
        val cases =
            listOf(
                "not sent before its expiry" to use(at = 100) to ErrorKind.TICKET_EXPIRED,
                "just before the end of the retention" to use(at = 149) to ErrorKind.TICKET_EXPIRED,
                "after the retention" to use(at = 150) to ErrorKind.TICKET_OWNER_GONE,
                "another process" to use(at = 10, used = ticket.copy(processStart = 6)) to ErrorKind.TICKET_OWNER_GONE,
                "another instance" to use(at = 10, used = ticket.copy(owner = InstanceName("x"))) to ErrorKind.TICKET_OWNER_GONE,
                "never issued" to use(at = 10, used = ticket.copy(id = TicketId(1, 2))) to ErrorKind.TICKET_INVALID,
            )
        for ((case, kind) in cases) assertEquals(refused(kind), case.second, case.first)
    }

    @Test
    fun aTicketUsedOnAnotherRouteIsRefusedPermanently() {
        assertEquals(refused(ErrorKind.TICKET_INVALID), use(at = 10, on = RouteName("book")))
        assertEquals(Outcome.NotRun(ErrorKind.TICKET_INVALID), recordedAt(11).outcome)
    }

    @Test
    fun aFullRegistryRefusesToIssueAndLargeAnswersAreNotStored() {
        val second = issue(at = 1)
        assertEquals(ErrorKind.OVERLOADED, registry.issue(route, Uptime(2), Random(2)).swap().getOrNull())
        assertEquals(TicketUse.Run, use(at = 3, used = second))
        registry.finish(second.id, Outcome.Ran(200), ByteArray(5), Uptime(4))
        assertEquals(null, assertIs<TicketUse.Recorded>(use(at = 5, used = second)).record.answer)
        issue(at = 100)
        assertEquals(2, registry.size)
    }
}
