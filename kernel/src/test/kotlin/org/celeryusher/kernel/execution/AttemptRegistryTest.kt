package org.celeryusher.kernel.execution

import org.celeryusher.kernel.error.ErrorKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class AttemptRegistryTest {
    private val attempt = reference(1)
    private val ran = Outcome.Ran(200)
    private val cancelled = Outcome.NotRun(ErrorKind.CANCELLED_BEFORE_START)
    private val expired = Outcome.NotRun(ErrorKind.DEADLINE_BEFORE_START)

    private fun reference(
        id: Long,
        processStart: Long = PROCESS_START,
        expiresAt: Long = 100,
    ) = AttemptReference(AttemptId(0, id), processStart, Uptime(expiresAt))

    private fun registry(entries: Int = 8) =
        AttemptRegistry(PROCESS_START, AttemptLimits(entries, maximumIdempotentEntries = 1, retention = 50.milliseconds))

    private fun AttemptRegistry.arrive(
        reference: AttemptReference,
        at: Long = 0,
    ) = arrive(reference, idempotent = false, Uptime(at))

    private fun AttemptRegistry.start(
        reference: AttemptReference,
        at: Long = 0,
    ) = start(reference, idempotent = false, Uptime(at))

    @Test
    fun eachSequenceOfEventsResolvesToTheExpectedState() {
        class Case(
            val name: String,
            val events: AttemptRegistry.() -> Unit,
            val resolvedAt: Long,
            val expected: AttemptState,
        )
        val cases =
            listOf(
                Case("never arrived", {}, 10, AttemptState.Settled(cancelled)),
                Case("never arrived, resolved after its expiry", {}, 120, AttemptState.Settled(expired)),
                Case("after expiry and retention", {}, 150, AttemptState.Settled(Outcome.Unknown(ErrorKind.DEADLINE_WHILE_RUNNING))),
                Case("queued", { arrive(attempt) }, 10, AttemptState.Queued),
                Case("queued until its expiry", { arrive(attempt) }, 100, AttemptState.Settled(expired)),
                Case(
                    "queued, starts at its expiry",
                    { arrive(attempt).also { start(attempt, at = 100) } },
                    100,
                    AttemptState.Settled(expired),
                ),
                Case("running", { arrive(attempt).also { start(attempt) } }, 10, AttemptState.Running),
                Case("still running long after its expiry", { arrive(attempt).also { start(attempt) } }, 900, AttemptState.Running),
                Case(
                    "cancelled in the queue",
                    { arrive(attempt).also { cancel(attempt, Uptime(1)) } },
                    10,
                    AttemptState.Settled(cancelled),
                ),
                Case("cancelled while running", {
                    arrive(attempt)
                    start(attempt)
                    assertEquals(Outcome.Unknown(ErrorKind.CANCELLED_WHILE_RUNNING), cancel(attempt, Uptime(1)))
                }, 10, AttemptState.Running),
                Case("ran, then a late copy arrives", {
                    arrive(attempt)
                    start(attempt)
                    finish(attempt.id, ran)
                    assertEquals(AttemptArrival.Duplicate(AttemptState.Settled(ran)), arrive(attempt, at = 20))
                }, 30, AttemptState.Settled(ran)),
                Case("the cancellation overtakes the attempt", {
                    assertEquals(cancelled, cancel(attempt, Uptime(1)))
                    assertEquals(AttemptArrival.Duplicate(AttemptState.Settled(cancelled)), arrive(attempt, at = 2))
                    assertEquals(AttemptStart.Refused(cancelled), start(attempt, at = 2))
                }, 10, AttemptState.Settled(cancelled)),
                Case("the server crashes while the attempt runs", {
                    arrive(attempt)
                    start(attempt)
                    assertEquals(listOf(attempt.id), recordServerCrash())
                    finish(attempt.id, ran)
                }, 10, AttemptState.Settled(Outcome.Unknown(ErrorKind.SERVER_CRASHED))),
                Case("refused by a drain while queued", {
                    arrive(attempt)
                    refuse(attempt, ErrorKind.DRAINING, Uptime(1))
                }, 10, AttemptState.Settled(Outcome.NotRun(ErrorKind.DRAINING))),
            )
        for (case in cases) {
            assertEquals(case.expected, registry().apply(case.events).resolve(attempt, Uptime(case.resolvedAt)), case.name)
        }
    }

    @Test
    fun aCopyForAnotherProcessNeverRunsAndItsOutcomeIsUnknown() {
        val other = reference(1, processStart = PROCESS_START - 1)
        val unknown = Outcome.Unknown(ErrorKind.CONNECTION_LOST)
        assertEquals(AttemptArrival.Refused(unknown), registry().arrive(other))
        assertEquals(AttemptStart.Refused(unknown), registry().start(other))
        assertEquals(unknown, registry().cancel(other, Uptime(0)))
        assertEquals(AttemptState.Settled(unknown), registry().resolve(other, Uptime(0)))
    }

    @Test
    fun aFullRegistryRefusesNewWorkAndKeepsRefusingIt() {
        val registry = registry(entries = 2)
        val overloaded = AttemptArrival.Refused(Outcome.NotRun(ErrorKind.OVERLOADED))
        registry.arrive(reference(1, expiresAt = 10))
        registry.arrive(reference(2, expiresAt = 300))
        assertEquals(overloaded, registry.arrive(reference(3, expiresAt = 200)))
        assertEquals(AttemptArrival.Accepted, registry.arrive(reference(4), idempotent = true, Uptime(0)))
        assertEquals(2, registry.size)
        registry.refuse(reference(1, expiresAt = 10), ErrorKind.DRAINING, Uptime(5))
        assertEquals(overloaded, registry.arrive(reference(3, expiresAt = 200), at = 70), "has room, but answered not run before")
        assertEquals(AttemptArrival.Accepted, registry.arrive(reference(5, expiresAt = 201), at = 70))
    }

    @Test
    fun idempotentWorkIsAcceptedAgainOnceAFullRegistryHasRoom() {
        val registry = registry(entries = 1)
        registry.arrive(attempt)
        registry.refuse(attempt, ErrorKind.OVERLOADED, Uptime(0))
        val refused = reference(2, expiresAt = 900)
        assertEquals(AttemptArrival.Refused(Outcome.NotRun(ErrorKind.OVERLOADED)), registry.arrive(refused))
        assertEquals(AttemptArrival.Refused(Outcome.NotRun(ErrorKind.OVERLOADED)), registry.arrive(refused, at = 200))
        assertEquals(AttemptArrival.Accepted, registry.arrive(reference(3, expiresAt = 900), idempotent = true, Uptime(200)))
    }

    private companion object {
        private const val PROCESS_START = 7L
    }
}
