package org.celeryusher.node.source

import arrow.core.flatMap
import kotlinx.coroutines.withContext
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.distribution.ChangeApplication
import org.celeryusher.kernel.distribution.ConfigurationChange
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.FloorSettings
import org.celeryusher.kernel.distribution.HolderEvent
import org.celeryusher.kernel.distribution.OfferDecision
import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.distribution.VersionFloor
import org.celeryusher.kernel.distribution.VersionHolder
import org.celeryusher.kernel.distribution.VersionLag
import org.celeryusher.kernel.distribution.WatchSchedule
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.control.ConfigurationStatus
import org.celeryusher.node.control.ConflictStatus
import org.celeryusher.node.control.RefusedStatus
import org.celeryusher.node.control.VersionLagStatus
import org.celeryusher.node.http.ReceiveProgress
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.TransferForm
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import java.io.IOException
import java.util.zip.GZIPInputStream
import kotlin.random.Random
import kotlin.time.Duration

/** Puts each newer valid version of the platform's configuration in force, read from the platform or relayed by a peer. */
internal class ConfigurationWatcher(
    settings: NodeSettings,
    private val reader: PlatformReader,
    private val routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val decisions: DecisionLog,
    private val relay: SourceRelay,
    private val evacuations: EvacuationWatcher,
    private val eras: StoreEraWatcher,
) {
    private val holder = VersionHolder(VersionFloor(clock.now(), settings.dataCentre, FloorSettings(waitLimit = Duration.ZERO)))
    private val schedule = WatchSchedule()

    /** The progress of the read that is under way. */
    private val progress = ReceiveProgress()

    init {
        relay.configurationHeardAt = ::heardAt
    }

    /** Whether the read that is under way is answered with changes only. */
    @Volatile
    private var isWatching = false

    private var isSourceLost = false
    private var position = StorePosition.START
    private val application = ChangeApplication(VcdiffDelta, MAXIMUM_BYTES)

    private val lag = VersionLag()

    /** The configuration in force as it was published, from which changes start. */
    private var published: ByteArray? = null

    @Volatile
    private var mustReadCompletely = false

    /** Whether other nodes have not been asked yet for a later version than the platform lists, which may have lost it. */
    @Volatile
    private var isStarting = true

    /** The configuration that the platform lists and that is not in force until other nodes have been asked, or null. */
    @Volatile
    private var withheld: PublishedConfiguration? = null

    /** Whether a configuration waits for the answers of other nodes. */
    val isWithheld: Boolean get() = withheld != null

    /** Puts the withheld configuration in force unless another node had a later one. */
    fun release() {
        isStarting = false
        withheld?.let { offer(it, ConfigurationSource.Platform, clock.now()) }
        withheld = null
    }

    /** The latest time at which this configuration is known to have been the newest one, or [Moment.DISTANT_PAST] before the first answer. */
    @Volatile
    var confirmedAt: Moment = Moment.DISTANT_PAST
        private set(value) {
            field = value
            relay.configurationConfirmed(value)
        }

    /** When the last answer of the platform arrived, which states what was current when it was sent, or earlier. */
    @Volatile
    private var answeredAt: Moment = Moment.DISTANT_PAST

    /** Returns when the platform was last heard of the configuration: the end of a read, or bytes of one that is still under way. */
    fun heardAt(): Moment = maxOf(confirmedAt, answeredAt, progress.receivedSince ?: Moment.DISTANT_PAST)

    /** Returns the age of what this node knows, or null before the first answer. */
    fun age(now: Moment): Duration? = if (confirmedAt == Moment.DISTANT_PAST) null else now - confirmedAt

    /** Records that a peer had the newest configuration at the time [at]. */
    fun confirmed(at: Moment) {
        confirmedAt = at
        // A watch from the position of this node would return every version since, each as a whole document.
        mustReadCompletely = true
    }

    /** Records that another node has [version]. */
    @Synchronized
    fun heard(version: Long) {
        lag.heard(version, clock.now())
        heardNewerAt = lag.behindSince
    }

    @Volatile
    private var heardNewerAt: Moment? = null

    /** The answer of a watch that is so large has a new version in it. */
    private val arrivingSince: Moment? get() = progress.headAt?.takeIf { isWatching && progress.bytes > LARGE_ANSWER_BYTES }

    /** Since when a newer version has been known that is not in force, or null if none is known. */
    val behindSince: Moment? get() = heardNewerAt ?: arrivingSince

    /** Returns how far this node is behind the newest version that it has heard of, for the status page. */
    @Synchronized
    fun lagStatus(now: Moment): VersionLagStatus = VersionLagStatus(lag.newestHeard, lag.durationAt(now).inWholeMilliseconds)

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

    /** The configuration in force, or null before the first one. */
    val digest: ConfigurationDigest? @Synchronized get() =
        holder.current
            ?.snapshot
            ?.digest

    /** The version in force, or null before the first one. */
    val version: Long? get() = digest?.version

    /** Makes the next read a complete one, whose answer does not wait for a change. */
    fun readCompletelySoon() {
        mustReadCompletely = true
    }

    /** Offers the configuration that [peer] has relayed in its [compressed] form. Returns whether this version, or a later one, is in force. */
    fun offerRelayed(
        compressed: ByteArray,
        peer: InstanceName,
    ): Boolean {
        // Without a configuration nothing is sent, so that a node that has just started waits for the evacuations.
        if (!evacuations.isKnown) return false
        val bytes =
            try {
                GZIPInputStream(compressed.inputStream()).use { it.readNBytes(MAXIMUM_BYTES) }
            } catch (error: IOException) {
                decisions.record("configuration", "refused", "${error.message}", "peer" to peer, "bytes" to compressed.size)
                return false
            }
        return offer(reader.decodeConfiguration(bytes), ConfigurationSource.Peer(peer), clock.now())
    }

    /** Applies the [changes] that [peer] has sent. Returns whether the version that they make, or a later one, is in force. */
    @Synchronized
    fun applyChanges(
        changes: List<ConfigurationChange>,
        peer: InstanceName,
    ): Boolean {
        val held = published ?: return false
        val digest = digest ?: return false
        // Another source was faster.
        if (changes.isNotEmpty() && changes.last().target.version <= digest.version) return true
        return application.apply(digest, held, changes).fold(
            { fault ->
                relay.counts.refused()
                decisions.record(
                    "configuration",
                    "refused changes",
                    "${ErrorKind.DOCUMENT_REFUSED}: $fault",
                    "peer" to peer,
                    "held" to digest,
                )
                false
            },
            { offer(reader.decodeConfiguration(it), ConfigurationSource.Peer(peer), clock.now(), changes) },
        )
    }

    /** Reads all evacuations within [timeout], some of which watches may have omitted. */
    suspend fun checkEvacuations(timeout: Duration) {
        val reading = reader.readEvacuations(timeout)
        if (reading !is PlatformReadResult.Value) return
        val now = clock.now()
        val era = eras.eraOf(reading.era, now) ?: return
        evacuations.applyListing(reading.value, StorePosition(era, reading.revision), now)
    }

    /** Reads the platform until there is an answer or a pause is due. Returns that pause, or null after an answer. */
    suspend fun readPlatform(): Duration? {
        while (true) {
            val sentAt = clock.now()
            if (mustReadCompletely) schedule.readCompletely()
            mustReadCompletely = false
            val read = schedule.next(position)
            isWatching = read is SourceRead.Watch
            val reading =
                try {
                    withContext(progress) { reader.readOperatorData(read) }
                } finally {
                    progress.end()
                }
            val pause = handle(read, reading, sentAt)
            if (pause != Duration.ZERO) return pause
        }
    }

    /** Handles the result of one read; returns the pause after a failure, or null after an answer. */
    private fun handle(
        read: SourceRead,
        reading: PlatformReadResult<OperatorData>,
        sentAt: Moment,
    ): Duration? =
        when (reading) {
            is PlatformReadResult.Value -> handleValue(read, reading, sentAt)

            is PlatformReadResult.HistoryGone -> {
                schedule.historyGone()
                Duration.ZERO
            }

            is PlatformReadResult.Unavailable -> handleFailure(read, reading)
        }

    private fun handleFailure(
        read: SourceRead,
        reading: PlatformReadResult.Unavailable,
    ): Duration {
        if (!isSourceLost) decisions.record("source", "configuration lost", reading.reason, "revision" to position)
        isSourceLost = true
        return schedule.failed(read, reading.retryAfter, random)
    }

    private fun handleValue(
        read: SourceRead,
        reading: PlatformReadResult.Value<OperatorData>,
        sentAt: Moment,
    ): Duration? {
        val now = clock.now()
        val era =
            eras.eraOf(reading.era, now)
                ?: return handleFailure(read, PlatformReadResult.Unavailable("the era of the answer cannot be used"))
        if (!read.isAnsweredIn(era)) {
            schedule.readCompletely()
            return Duration.ZERO
        }
        handleAnswer(read, reading, StorePosition(era, reading.revision), sentAt, now)
        return null
    }

    private fun handleAnswer(
        read: SourceRead,
        reading: PlatformReadResult.Value<OperatorData>,
        reached: StorePosition,
        sentAt: Moment,
        now: Moment,
    ) {
        if (isSourceLost) decisions.record("source", "configuration regained", "the platform answers", "revision" to reached)
        isSourceLost = false
        val data = reading.value
        evacuations.apply(read, data, reached, now)
        if (isStarting && version == null && eras.hasLostChanges) {
            data.configuration?.let { withheld = it }
        } else {
            data.configuration?.let { offer(it, ConfigurationSource.Platform, now) }
        }
        position = reached
        answeredAt = now
        val hasChanges = data.configuration != null || data.evacuations.isNotEmpty()
        confirmedAt = schedule.answered(read, hasChanges, sentAt, now, begunAt = progress.headAt ?: now, data.supersededConfigurations)
    }

    /** Returns whether the offered version, or a later one, is in force. [changes] have led to it from the one in force before, if any. */
    @Synchronized
    private fun offer(
        published: PublishedConfiguration,
        source: ConfigurationSource,
        now: Moment,
        changes: List<ConfigurationChange> = emptyList(),
    ): Boolean {
        val snapshot =
            published.document.flatMap { ConfigurationParser.validate(it, published.bytes) }.fold(
                { faults -> return logRefusal(published, faults.joinToString("; ")) },
                { it },
            )
        when (val decision = holder.offer(snapshot, source, now)) {
            is OfferDecision.InForce -> {
                routing.putInForce(decision.held.snapshot)
                lag.putInForce(snapshot.digest.version, now)
                heardNewerAt = lag.behindSince
                decisions.record(
                    "configuration",
                    "in force ${snapshot.digest.version}",
                    "newer than the previous one",
                    "before" to decision.previous?.version,
                    "bytes" to published.bytes.size,
                    "source" to source,
                    "changes" to changes.size,
                    "confirmedBefore" to age(now),
                )
                if (source is ConfigurationSource.Peer) relay.counts.received(formOf(changes))
                val steps = changes.ifEmpty { listOfNotNull(decision.previous?.let { changeFrom(it, snapshot.digest, published.bytes) }) }
                this.published = published.bytes
                relay.updateConfiguration(snapshot.digest, published.bytes, steps)
                return true
            }

            is OfferDecision.ConflictingContent, is OfferDecision.Older -> {
                decisions.record("configuration", "refused ${snapshot.digest.version}", decision.toString())
                return decision is OfferDecision.Older
            }

            is OfferDecision.AlreadyHeld -> return true

            is OfferDecision.WaitingForFloor, is OfferDecision.Refused -> return false
        }
    }

    private fun formOf(changes: List<ConfigurationChange>): TransferForm =
        if (changes.isEmpty()) TransferForm.DOCUMENT else TransferForm.CHANGES

    private fun changeFrom(
        previous: ConfigurationDigest,
        next: ConfigurationDigest,
        bytes: ByteArray,
    ): ConfigurationChange? = published?.let { ConfigurationChange(previous, next, VcdiffDelta.encode(it, bytes)) }

    private fun logRefusal(
        published: PublishedConfiguration,
        faults: String,
    ): Boolean {
        decisions.record("configuration", "refused", faults, "bytes" to published.bytes.size)
        return false
    }

    private companion object {
        /** Limits the size of a relayed configuration; the platform's largest value has one megabyte. */
        const val MAXIMUM_BYTES = 16 * 1_024 * 1_024

        /** More than requests for evacuations take. */
        const val LARGE_ANSWER_BYTES = 16_384
    }
}
