package org.celeryusher.node.source

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.FloorSettings
import org.celeryusher.kernel.distribution.HolderEvent
import org.celeryusher.kernel.distribution.OfferDecision
import org.celeryusher.kernel.distribution.ReadBackoff
import org.celeryusher.kernel.distribution.VersionFloor
import org.celeryusher.kernel.distribution.VersionHolder
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.ConfigurationStatus
import org.celeryusher.node.control.ConflictStatus
import org.celeryusher.node.control.RefusedStatus
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Watches the platform's configuration and puts each newer valid version in force. */
internal class ConfigurationWatcher(
    settings: NodeSettings,
    private val reader: PlatformReader,
    private val routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val holder = VersionHolder(VersionFloor(clock.now(), settings.dataCentre, FloorSettings(waitLimit = Duration.ZERO)))
    private val backoff = ReadBackoff()
    private val readRequests = Channel<Unit>(Channel.CONFLATED)
    private var isSourceLost = false
    private var revision: Long? = null

    @Volatile
    private var lastAnswer = Moment.DISTANT_PAST

    /** Returns the time since the platform last answered, or null when it never did. */
    fun age(now: Moment): Duration? = if (lastAnswer == Moment.DISTANT_PAST) null else now - lastAnswer

    /** Ends the current pause between reads. */
    fun readSoon() {
        readRequests.trySend(Unit)
    }

    /** Returns the configuration in force for the status page. */
    @Synchronized
    fun status(now: Moment): ConfigurationStatus? =
        holder.current?.let {
            ConfigurationStatus(
                it.snapshot.digest.version,
                it.snapshot.digest.contentHash,
                it.source.toString(),
                (now - it.since).inWholeMilliseconds,
            )
        }

    /** Returns the refused documents for the status page. */
    @Synchronized
    fun refused(now: Moment): List<RefusedStatus> =
        holder.events.filterIsInstance<HolderEvent.Refused>().map { event ->
            RefusedStatus(event.version, event.source.toString(), (now - event.at).inWholeMilliseconds, event.faults.map { it.toString() })
        }

    /** Returns the conflicting documents for the status page. */
    @Synchronized
    fun conflicts(): List<ConflictStatus> =
        holder.events
            .filterIsInstance<HolderEvent.Conflict>()
            .map { ConflictStatus(it.offered.version, it.offered.contentHash, it.source.toString()) }

    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            val after = revision
            val reading = if (after == null) reader.readConfiguration() else reader.awaitConfiguration(after, WATCH_WAIT)
            val pause = handle(reading)
            if (pause.isPositive()) withTimeoutOrNull(pause) { readRequests.receive() }
        }
    }

    /** Handles the result of one read; returns the pause before the next one. */
    private fun handle(reading: PlatformReadResult<PublishedConfiguration?>): Duration =
        when (reading) {
            is PlatformReadResult.Value -> {
                handleAnswer(reading)
                READ_INTERVAL
            }

            is PlatformReadResult.HistoryGone -> {
                revision = null
                Duration.ZERO
            }

            is PlatformReadResult.Unavailable -> {
                if (!isSourceLost) decisions.record("source", "configuration lost", reading.reason, "revision" to revision)
                isSourceLost = true
                backoff.failed(random, reading.retryAfter)
            }
        }

    private fun handleAnswer(reading: PlatformReadResult.Value<PublishedConfiguration?>) {
        if (isSourceLost) decisions.record("source", "configuration regained", "the platform answers", "revision" to reading.revision)
        isSourceLost = false
        backoff.succeeded()
        lastAnswer = clock.now()
        reading.value?.let { offer(it, lastAnswer) }
        revision = reading.revision
    }

    @Synchronized
    private fun offer(
        published: PublishedConfiguration,
        now: Moment,
    ) {
        val snapshot =
            published.document.fold({ faults -> return logRefusal(published, faults.joinToString("; ")) }, { document ->
                ConfigurationParser.validate(document, published.bytes).fold(
                    { faults -> return logRefusal(published, faults.joinToString("; ")) },
                    { it },
                )
            })
        when (val decision = holder.offer(snapshot, ConfigurationSource.Platform, now)) {
            is OfferDecision.InForce -> {
                routing.putInForce(decision.held.snapshot)
                decisions.record(
                    "configuration",
                    "in force ${snapshot.digest.version}",
                    "newer than the previous one",
                    "before" to decision.previous?.version,
                    "bytes" to published.bytes.size,
                )
            }

            is OfferDecision.ConflictingContent, is OfferDecision.Older -> {
                decisions.record("configuration", "refused ${snapshot.digest.version}", decision.toString())
            }

            is OfferDecision.AlreadyHeld, is OfferDecision.WaitingForFloor, is OfferDecision.Refused -> Unit
        }
    }

    private fun logRefusal(
        published: PublishedConfiguration,
        faults: String,
    ) {
        decisions.record("configuration", "refused", faults, "bytes" to published.bytes.size)
    }

    private companion object {
        /** How long one read waits for a newer configuration. */
        val WATCH_WAIT = 4_000.milliseconds

        /** The pause after an answer, so that changes in quick succession are read together. */
        val READ_INTERVAL = 200.milliseconds
    }
}
