package org.celeryusher.node.source

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.FloorSettings
import org.celeryusher.kernel.distribution.HolderEvent
import org.celeryusher.kernel.distribution.OfferDecision
import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.distribution.VersionFloor
import org.celeryusher.kernel.distribution.VersionHolder
import org.celeryusher.kernel.distribution.WatchSchedule
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.control.ConfigurationStatus
import org.celeryusher.node.control.ConflictStatus
import org.celeryusher.node.control.RefusedStatus
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import java.io.IOException
import java.util.zip.GZIPInputStream
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Puts each newer valid version of the platform's configuration in force, read from the platform or relayed by a peer. */
internal class ConfigurationWatcher(
    settings: NodeSettings,
    private val reader: PlatformReader,
    private val routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
    private val relay: SourceRelay,
) {
    private val holder = VersionHolder(VersionFloor(clock.now(), settings.dataCentre, FloorSettings(waitLimit = Duration.ZERO)))
    private val schedule = WatchSchedule()
    private val readRequests = Channel<Unit>(Channel.CONFLATED)
    private val readsPlatform = MutableStateFlow(true)
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

    /** The version in force, or null before the first one. */
    val version: Long? @Synchronized get() =
        holder.current
            ?.snapshot
            ?.digest
            ?.version

    /** Sets whether [run] reads the platform; otherwise a peer relays the configuration. */
    fun readsPlatform(isReading: Boolean) {
        readsPlatform.value = isReading
    }

    /** Offers the configuration that [peer] has relayed in its [compressed] form. */
    fun offerRelayed(
        compressed: ByteArray,
        peer: InstanceName,
    ) {
        val bytes =
            try {
                GZIPInputStream(compressed.inputStream()).use { it.readNBytes(MAXIMUM_BYTES) }
            } catch (error: IOException) {
                decisions.record("configuration", "refused", "${error.message}", "peer" to peer, "bytes" to compressed.size)
                return
            }
        offer(reader.decodeConfiguration(bytes), ConfigurationSource.Peer(peer), clock.now())
    }

    /** Reads the platform until it has answered once, and then watches it while [readsPlatform] is set, until cancelled. */
    suspend fun run() {
        while (true) {
            if (revision != null) readsPlatform.first { it }
            val read = schedule.next(revision ?: 0)
            val pause = handle(read, reader.readConfiguration(read))
            if (pause.isPositive()) withTimeoutOrNull(pause) { readRequests.receive() }
        }
    }

    /** Handles the result of one read; returns the pause before the next one. */
    private fun handle(
        read: SourceRead,
        reading: PlatformReadResult<PublishedConfiguration?>,
    ): Duration =
        when (reading) {
            is PlatformReadResult.Value -> {
                handleAnswer(read, reading)
                READ_INTERVAL
            }

            is PlatformReadResult.HistoryGone -> {
                schedule.historyGone()
                Duration.ZERO
            }

            is PlatformReadResult.Unavailable -> {
                if (!isSourceLost) decisions.record("source", "configuration lost", reading.reason, "revision" to revision)
                isSourceLost = true
                schedule.failed(read, reading.retryAfter, random)
            }
        }

    private fun handleAnswer(
        read: SourceRead,
        reading: PlatformReadResult.Value<PublishedConfiguration?>,
    ) {
        if (isSourceLost) decisions.record("source", "configuration regained", "the platform answers", "revision" to reading.revision)
        isSourceLost = false
        lastAnswer = clock.now()
        schedule.answered(read, reading.value != null, lastAnswer, lastAnswer)
        reading.value?.let { offer(it, ConfigurationSource.Platform, lastAnswer) }
        revision = reading.revision
    }

    @Synchronized
    private fun offer(
        published: PublishedConfiguration,
        source: ConfigurationSource,
        now: Moment,
    ) {
        val snapshot =
            published.document.fold({ faults -> return logRefusal(published, faults.joinToString("; ")) }, { document ->
                ConfigurationParser.validate(document, published.bytes).fold(
                    { faults -> return logRefusal(published, faults.joinToString("; ")) },
                    { it },
                )
            })
        when (val decision = holder.offer(snapshot, source, now)) {
            is OfferDecision.InForce -> {
                routing.putInForce(decision.held.snapshot)
                decisions.record(
                    "configuration",
                    "in force ${snapshot.digest.version}",
                    "newer than the previous one",
                    "before" to decision.previous?.version,
                    "bytes" to published.bytes.size,
                    "source" to source,
                )
                relay.updateConfiguration(snapshot.digest.version, published.bytes)
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
        /** The pause after an answer, so that changes in quick succession are read together. */
        val READ_INTERVAL = 400.milliseconds

        /** Limits the size of a relayed configuration; the platform's largest value has one megabyte. */
        const val MAXIMUM_BYTES = 16 * 1_024 * 1_024
    }
}
