package org.celeryusher.node.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.OfferDecision
import org.celeryusher.kernel.distribution.ReadDecision
import org.celeryusher.kernel.distribution.ReadSubject
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads the platform when it is this node's turn: the configuration by a watch, the instance list by polling. */
internal class PlatformReading(
    private val platform: PlatformClient,
    private val state: ControlState,
    private val exchanges: ControlExchanges,
    private val traffic: ControlTraffic,
    private val clock: ProcessClock,
) {
    /** Reads until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { repeatWhenDue(ReadSubject.CONFIGURATION, ::readConfiguration) }
            launch { repeatWhenDue(ReadSubject.INSTANCES) { readInstances() } }
        }

    private suspend fun repeatWhenDue(
        subject: ReadSubject,
        read: suspend (Duration) -> Unit,
    ) {
        while (true) {
            when (val decision = state.readDecision(subject)) {
                is ReadDecision.Read -> readSafely(subject) { read(decision.watchWait) }
                is ReadDecision.WaitUntil -> delay((decision.moment - clock.now()).coerceIn(SHORTEST_WAIT, LONGEST_WAIT))
            }
        }
    }

    private suspend fun readSafely(
        subject: ReadSubject,
        read: suspend () -> Unit,
    ) {
        try {
            read()
        } catch (error: CancellationException) {
            throw error
        } catch (error: RuntimeException) {
            logger.error(error) { "reading the platform failed" }
            state.readFailed(subject, Duration.ZERO)
        }
    }

    private suspend fun readConfiguration(watchWait: Duration) {
        traffic.configurationRead()
        when (val answer = platform.watchConfiguration(state.watchAfter(), watchWait)) {
            is PlatformAnswer.Value -> {
                state.readSucceeded(ReadSubject.CONFIGURATION)
                val offered = state.offer(answer.value, ConfigurationSource.Platform)
                exchanges.start(offered.actions)
                if (!isNews(offered.decision)) delay(USELESS_ANSWER_DELAY)
            }
            is PlatformAnswer.Unchanged -> state.readSucceeded(ReadSubject.CONFIGURATION)
            is PlatformAnswer.Unavailable -> state.readFailed(ReadSubject.CONFIGURATION, answer.retryAfter)
        }
    }

    private suspend fun readInstances() {
        traffic.instancesRead()
        when (val answer = platform.readInstances()) {
            is PlatformAnswer.Value -> {
                state.readSucceeded(ReadSubject.INSTANCES)
                exchanges.start(state.takeListed(answer.value))
            }
            is PlatformAnswer.Unchanged -> state.readSucceeded(ReadSubject.INSTANCES)
            is PlatformAnswer.Unavailable -> state.readFailed(ReadSubject.INSTANCES, answer.retryAfter)
        }
    }

    /** Whether a watch that gave this was worth its call; one that answers at once with what is held or refused is asked less often. */
    private fun isNews(decision: OfferDecision): Boolean =
        when (decision) {
            is OfferDecision.InForce -> true
            is OfferDecision.WaitingForFloor,
            is OfferDecision.AlreadyHeld,
            is OfferDecision.Older,
            is OfferDecision.ConflictingContent,
            is OfferDecision.Refused,
            -> false
        }

    private companion object {
        val SHORTEST_WAIT = 10.milliseconds
        val LONGEST_WAIT = 200.milliseconds
        val USELESS_ANSWER_DELAY = 1.seconds
        val logger = KotlinLogging.logger {}
    }
}
