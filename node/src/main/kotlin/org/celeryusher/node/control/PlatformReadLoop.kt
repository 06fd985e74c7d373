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
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads the platform while this node is a reader of its data centre: the configuration by a watch, the instance list by polling. */
internal class PlatformReadLoop(
    private val platform: PlatformClient,
    private val state: ControlState,
    private val actions: ControlActionExecutor,
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
                is ReadDecision.WaitUntil -> delay((decision.moment - clock.now()).coerceIn(MINIMUM_WAIT, MAXIMUM_WAIT))
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
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "read of the platform failed" }
            state.recordReadFailure(subject, Duration.ZERO)
        }
    }

    private suspend fun readConfiguration(watchWait: Duration) {
        traffic.recordConfigurationRead()
        when (val answer = platform.watchConfiguration(state.watchAfter(), watchWait)) {
            is PlatformAnswer.Value -> {
                state.recordReadSuccess(ReadSubject.CONFIGURATION)
                val offered = state.offer(answer.value, ConfigurationSource.Platform)
                actions.start(offered.actions)
                if (!isNewer(offered.decision)) delay(NOTHING_NEW_DELAY)
            }
            is PlatformAnswer.Unchanged -> state.recordReadSuccess(ReadSubject.CONFIGURATION)
            is PlatformAnswer.Unavailable -> state.recordReadFailure(ReadSubject.CONFIGURATION, answer.retryAfter)
        }
    }

    private suspend fun readInstances() {
        traffic.recordInstancesRead()
        when (val answer = platform.readInstances()) {
            is PlatformAnswer.Value -> {
                state.recordReadSuccess(ReadSubject.INSTANCES)
                actions.start(state.applyPlatformList(answer.value))
            }
            is PlatformAnswer.Unchanged -> state.recordReadSuccess(ReadSubject.INSTANCES)
            is PlatformAnswer.Unavailable -> state.recordReadFailure(ReadSubject.INSTANCES, answer.retryAfter)
        }
    }

    /**
     * Returns whether a watch returned a newer configuration.
     *
     * The next watch is delayed otherwise, because the platform would return the same known or refused document again at once.
     */
    private fun isNewer(decision: OfferDecision): Boolean =
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
        val MINIMUM_WAIT = 10.milliseconds
        val MAXIMUM_WAIT = 200.milliseconds
        val NOTHING_NEW_DELAY = 1.seconds
        val logger = KotlinLogging.logger {}
    }
}
