package org.celeryusher.node.log

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that a subject with many decisions does not displace those of another, and that many subjects do not exhaust the memory. */
class DecisionLogTest {
    private var now = Moment(0)

    @Test
    fun theLatestDecisionsOfEachSubjectAreKeptAndTheOthersCounted() {
        val log = DecisionLog(InstanceName("records-hub-1"), { now }, capacity = 2)
        log.record("membership", "suspected", "no answer", "member" to "billing-desk-2")
        for (nanoseconds in 2L..6L) {
            now = Moment(nanoseconds)
            log.record("routing", "endpoint-$nanoseconds", "least loaded")
        }
        assertEquals(listOf("suspected", "endpoint-5", "endpoint-6"), log.latest.map { it.decided })
        assertEquals(mapOf("member" to "billing-desk-2"), log.latest[0].inputs)
        assertEquals(3, log.discarded)
    }

    /** Guards against a change of the server list or the configuration that a burst of calls keeps out of the log. */
    @Test
    fun linesAboutTheStateAreWrittenDuringABurstOfCalls() {
        val logger = LoggerFactory.getLogger("org.celeryusher.decision") as Logger
        val appender = ListAppender<ILoggingEvent>().apply { start() }
        logger.addAppender(appender)
        try {
            val log = DecisionLog(InstanceName("records-hub-1"), { now })
            repeat(1_000) { log.record("call", "answered", "ANSWERED") }
            log.record("servers", "billing-desk-2 gone", "the platform's list")
            assertEquals("servers", appender.list.last().message)
            assertTrue(appender.list.size <= 402, "${appender.list.size} lines")
        } finally {
            logger.detachAppender(appender)
        }
    }

    @Test
    fun theNumberOfKeptDecisionsIsBoundedForManySubjects() {
        val log = DecisionLog(InstanceName("records-hub-1"), { now }, capacity = 2)
        for (number in 1..1_000) log.record("subject-$number", "done", "test")
        assertTrue(log.latest.size <= 2 * (DecisionLog.MAXIMUM_SUBJECTS + 1), "${log.latest.size} decisions are kept")
    }
}
