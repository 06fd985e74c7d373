package org.celeryusher.node.call

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.distribution.ChangeHistory
import org.celeryusher.kernel.distribution.ConfigurationAnswer
import org.celeryusher.kernel.distribution.ConfigurationChange
import org.celeryusher.kernel.distribution.DocumentLimit
import org.celeryusher.kernel.distribution.SourceContact
import org.celeryusher.kernel.execution.Uptime
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.membership.EvacuationSet
import org.celeryusher.kernel.membership.ListedServer
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.kernel.membership.ServerListChanges
import org.celeryusher.kernel.membership.ServerListJournal
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.metrics.ConfigurationTransferCounts
import org.celeryusher.node.runtime.ProcessClock
import java.io.ByteArrayOutputStream
import java.util.concurrent.atomic.AtomicReference
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Passes on to other nodes what this node knows from the platform: the configuration in force and the servers in use. Thread-safe.
 *
 * A query is held until there is something new, so that a change reaches all nodes without each of them polling the platform.
 */
internal class SourceRelay(
    private val clock: ProcessClock,
) {
    /** What this node has sent and received of configurations. */
    val counts: ConfigurationTransferCounts = ConfigurationTransferCounts()

    /** A published configuration, whose compressed form is computed when it is first asked for. */
    private class Published(
        val digest: ConfigurationDigest,
        bytes: ByteArray,
    ) {
        val size: Int = bytes.size
        val compressed: ByteArray by lazy {
            ByteArrayOutputStream().also { output -> GZIPOutputStream(output).use { it.write(bytes) } }.toByteArray()
        }
    }

    private val journal = ServerListJournal()
    private val changes = MutableStateFlow(0L)
    private var position = StorePosition.START

    @Volatile
    private var published: Published? = null
    private val history = ChangeHistory()
    private var evacuations: EvacuationSet? = null

    /** The latest time at which the list is known to have been current, or [Moment.DISTANT_PAST] before there is one. */
    @Volatile
    private var listConfirmedAt = Moment.DISTANT_PAST

    /** The latest time at which the configuration is known to have been the newest, or [Moment.DISTANT_PAST] before there is one. */
    @Volatile
    private var configurationConfirmedAt = Moment.DISTANT_PAST

    /** The latest time at which all that this node passes on is known to have been current. */
    private val confirmedAt: Moment get() = minOf(listConfirmedAt, configurationConfirmedAt)

    /** Returns when the platform was last heard of the configuration, also if its answer is still arriving. */
    @Volatile
    var configurationHeardAt: () -> Moment = { Moment.DISTANT_PAST }

    /** The size of the configuration in force as it was published, or null before the first one. */
    val documentBytes: Int? get() = published?.size

    /** Returns the limits of all instances that are known to decline, if this node declines to be asked, or null. */
    @Volatile
    var declinedLimits: () -> List<DocumentLimit>? = { null }

    /** Receives the limit of a node that has asked this one and declines to be asked itself. */
    @Volatile
    var limitListener: (DocumentLimit) -> Unit = {}

    /** When another node last asked this one and was not declined, or [Moment.DISTANT_PAST] before any did. */
    @Volatile
    var lastQueryAt: Moment = Moment.DISTANT_PAST
        private set

    /** The instance beside the latest node that offered its data, or null when there was none since the last call of [takeOffer]. */
    private val offer = AtomicReference<InstanceName?>()

    /** Returns whether the platform answers this node. */
    @Volatile
    var isServed: () -> Boolean = { true }

    /** Returns the instance beside the latest node that has offered its data since the last call, or null. */
    fun takeOffer(): InstanceName? = offer.getAndSet(null)

    /** Records that the list was current at the time [at]. */
    fun listConfirmed(at: Moment) {
        listConfirmedAt = at
    }

    /** Records that the configuration was the newest at the time [at]. */
    fun configurationConfirmed(at: Moment) {
        configurationConfirmedAt = at
        confirmationListener?.invoke(at)
    }

    /** Receives the time at which the configuration and the evacuations, which are read together, were current. */
    @Volatile
    var confirmationListener: ((Moment) -> Unit)? = null

    /** Receives the entry of the backend server beside this node whenever it has been written anew. */
    @Volatile
    var entryListener: ((ListedServer) -> Unit)? = null

    private var lastEntry: ListedServer? = null

    /** Passes on [entry], the one of the backend server beside this node, unless it is the same as before. */
    fun ownEntry(entry: ListedServer) {
        if (entry == lastEntry) return
        lastEntry = entry
        entryListener?.invoke(entry)
    }

    /** Records the [servers] of the list up to [position]. */
    @Synchronized
    fun updateServers(
        servers: Collection<ServerListChange.Written>,
        position: StorePosition,
    ) {
        this.position = position
        if (journal.update(servers, position)) changes.value++
    }

    /** Records that the configuration [digest], published as [bytes], is in force, and the [steps] that have led to it from the one before. */
    @Synchronized
    fun updateConfiguration(
        digest: ConfigurationDigest,
        bytes: ByteArray,
        steps: List<ConfigurationChange> = emptyList(),
    ) {
        published = Published(digest, bytes)
        if (steps.isEmpty()) history.clear()
        steps.forEach(history::add)
        changes.value++
    }

    /** Records that the evacuations in [set] are in force. */
    @Synchronized
    fun updateEvacuations(set: EvacuationSet) {
        val hasNews = set.changedAt != evacuations?.changedAt
        evacuations = set
        if (hasNews) changes.value++
    }

    /** Returns the answer of the process that started at [processStart] to [query], once there is something new or its wait has passed. */
    suspend fun answer(
        query: Frame.SourceQuery,
        processStart: Long,
        uptime: () -> Uptime,
    ): Frame.SourceUpdate {
        val receivedAt = clock.now()
        query.senderLimit?.let(limitListener)
        val declined = if (query.acceptsDeclining == false) declinedLimits() else null
        if (declined == null) lastQueryAt = receivedAt
        query.offeredBy?.let(offer::set)
        val cursor = query.cursor.takeIf { query.processStart == processStart }
        // A node whose list grows old answers early, so that the sender can ask another one.
        val limit = if (query.acceptsOldData) MAXIMUM_WAIT else RECENT - ageOfContact(receivedAt)
        val wait = minOf(query.waitMilliseconds.coerceAtLeast(0).milliseconds, limit)
        if (wait.isPositive() && declined == null) withTimeoutOrNull(wait) { changes.first { hasNews(cursor, query) } }
        return update(query, cursor, processStart, receivedAt, uptime(), declined)
    }

    /** Returns how long ago the platform was heard, of what this node passes on. */
    private fun ageOfContact(now: Moment): Duration =
        SourceContact.age(
            now - listConfirmedAt,
            now - configurationConfirmedAt,
            now - maxOf(configurationHeardAt(), configurationConfirmedAt),
        )

    @Synchronized
    private fun hasNews(
        cursor: Long?,
        query: Frame.SourceQuery,
    ): Boolean = cursor == null || journal.latest != cursor || hasVersionFor(query) || hasEvacuationsFor(query)

    private fun hasVersionFor(query: Frame.SourceQuery): Boolean {
        val newest = newerThan(query.version) ?: return false
        val awaited = query.awaited ?: return true
        return newest.digest.version > awaited || answerOf(query, newest) is ConfigurationAnswer.Changes
    }

    private fun hasEvacuationsFor(query: Frame.SourceQuery): Boolean {
        val known = query.evacuationsChangedAt ?: return false
        return (evacuations ?: return false).changedAt > known
    }

    @Synchronized
    private fun update(
        query: Frame.SourceQuery,
        cursor: Long?,
        processStart: Long,
        receivedAt: Moment,
        uptime: Uptime,
        declined: List<DocumentLimit>?,
    ): Frame.SourceUpdate {
        val now = clock.now()
        val confirmedAt = confirmedAt
        val isKnown = confirmedAt != Moment.DISTANT_PAST
        val newest = newerThan(query.version)
        val answer = newest?.let { answerOf(query, it) } ?: ConfigurationAnswer.UpToDate
        if (answer is ConfigurationAnswer.Changes) counts.sentChanges(answer.changes.sumOf { it.delta.size })
        val document = newest?.takeIf { query.wantsDocument || query.held == null }?.compressed
        document?.let { counts.sentDocument(it.size) }
        val list = if (isKnown && !query.wantsDocument) journal.changesSince(cursor).takeUnless(::isEmpty) else null
        val isCompressed = list?.isComplete == true && query.held != null
        return Frame.SourceUpdate(
            exchange = query.exchange,
            processStart = processStart,
            heldMilliseconds = (now - receivedAt).inWholeMilliseconds,
            contactMilliseconds = if (isKnown) ageOfContact(now).inWholeMilliseconds else null,
            ageMilliseconds = if (isKnown) (now - confirmedAt).inWholeMilliseconds else null,
            revision = position.revision,
            servers = list.takeUnless { isCompressed },
            compressedServers = list?.takeIf { isCompressed }?.let(ServerListCompression::compress),
            configuration = document,
            uptime = uptime,
            evacuations = evacuations,
            isServed = isServed(),
            era = position.era,
            newest = newest?.digest?.takeIf { query.held != null },
            changes = (answer as? ConfigurationAnswer.Changes)?.changes,
            declined = declined,
        )
    }

    /** Returns how the sender of [query] gets [newest] if it takes changes, or null if it gets a document with this answer. */
    private fun answerOf(
        query: Frame.SourceQuery,
        newest: Published,
    ): ConfigurationAnswer? {
        val held = query.held ?: return null
        if (query.wantsDocument) return null
        return history.answerTo(held, newest.digest) { newest.compressed.size }
    }

    private fun isEmpty(changes: ServerListChanges): Boolean = changes.changes.isEmpty() && !changes.isComplete

    private fun newerThan(version: Long?): Published? = published?.takeIf { version == null || it.digest.version > version }

    private companion object {
        /** The age up to which the data counts as recent: longer than the interval of reads. */
        val RECENT = 1_000.milliseconds

        /** Limits how long a query of another node occupies memory here. */
        val MAXIMUM_WAIT = 10.seconds
    }
}
