package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** A running comparison of the member lists with one peer, page by page. */
private class SyncSession(
    val peer: InstanceName?,
    val address: Address,
    val isForRefresh: Boolean,
    var pagesLeft: Int,
    var page: MemberPage,
)

/**
 * Reconciles the member lists of two nodes (anti-entropy) after a start, a pause or a healed partition, and whenever their hashes differ.
 *
 * A page whose hash agrees takes a few bytes; only pages that differ contain entries. A comparison started by a differing hash is limited
 * to [MembershipSettings.pagesPerSync] pages, and the next comparison continues where it stopped, so that the cost does not grow with
 * the fleet.
 */
internal class MemberListSync(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val exchanges: ExchangeFactory,
) {
    private val sessions = mutableMapOf<Long, SyncSession>()
    private var earliestStartAt = Moment.DISTANT_PAST
    private var resumeAfter: InstanceName? = null

    /** The number of running comparisons that belong to a refresh. */
    val runningRefreshes: Int get() = sessions.values.count { it.isForRefresh }

    /** The addresses of the peers in the running comparisons that belong to a refresh. */
    val refreshAddresses: Set<Address> get() = sessions.values.filter { it.isForRefresh }.mapTo(mutableSetOf()) { it.address }

    /** Starts a comparison of the whole member list with the node at [address]. */
    fun startRefresh(
        peer: InstanceName?,
        address: Address,
        context: EventContext,
    ): Unit = request(SyncSession(peer, address, isForRefresh = true, Int.MAX_VALUE, requestPage(null, emptyList())), context)

    /** Starts a comparison with [peer] if its [hash] differs and the last comparison is at least [MembershipSettings.syncInterval] ago. */
    fun compareHash(
        peer: MemberRecord,
        hash: Long,
        context: EventContext,
    ) {
        if (hash == table.hash() || context.now < earliestStartAt) return
        earliestStartAt = context.now + settings.syncInterval
        val page = requestPage(resumeAfter, emptyList())
        request(SyncSession(peer.instance, peer.metadata.controlAddress, isForRefresh = false, settings.pagesPerSync, page), context)
    }

    /** Returns the answer to the peer's [page]. */
    fun answer(page: MemberPage): MemberPage {
        val range = table.range(page.after, page.through)
        val hash = MemberTable.hashOf(range)
        if (hash == page.hash) return page.copy(entries = emptyList())
        val entries = range.take(settings.pageSize)
        val through = if (entries.size < range.size) entries.last().instance else page.through
        return MemberPage(page.after, through, hash, entries)
    }

    /** Continues after the answer to exchange [number], whose entries are already applied; returns whether this completed a refresh. */
    fun handleAnswer(
        number: Long,
        answer: MemberPage?,
        context: EventContext,
    ): Boolean {
        val session = sessions.remove(number) ?: return false
        if (answer == null) return false
        val missingEntries = entriesMissingAtPeer(session.page, answer)
        session.pagesLeft--
        val isLast = answer.through == null || session.pagesLeft == 0
        if (!session.isForRefresh) resumeAfter = answer.through
        if (isLast && missingEntries.isEmpty()) return session.isForRefresh
        session.page = if (isLast) finalPage(missingEntries) else requestPage(answer.through, missingEntries)
        if (isLast) sendLast(session, context) else request(session, context)
        return isLast && session.isForRefresh
    }

    fun handleFailure(number: Long) {
        sessions.remove(number)
    }

    /** Abandons all running comparisons. */
    fun clearSessions() {
        sessions.clear()
    }

    private fun request(
        session: SyncSession,
        context: EventContext,
    ) {
        val exchange = exchange(session)
        sessions[exchange.number] = session
        context += exchange
    }

    private fun sendLast(
        session: SyncSession,
        context: EventContext,
    ) {
        context += exchange(session)
    }

    private fun exchange(session: SyncSession) =
        exchanges.create(session.peer, session.address, settings.probeTimeout, ExchangePurpose.SYNC) { copy(page = session.page) }

    private fun requestPage(
        after: InstanceName?,
        missingEntries: List<MemberUpdate>,
    ): MemberPage {
        val rest = table.range(after, null)
        val range = rest.take(settings.pageSize)
        val through = if (range.size < rest.size) range.last().instance else null
        return MemberPage(after, through, MemberTable.hashOf(range), missingEntries)
    }

    /** Returns a page that only sends [missingEntries]: its range is empty, so it agrees with the peer's. */
    private fun finalPage(missingEntries: List<MemberUpdate>): MemberPage {
        val end = missingEntries.last().instance
        return MemberPage(end, end, MemberTable.hashOf(emptyList()), missingEntries)
    }

    private fun entriesMissingAtPeer(
        request: MemberPage,
        answer: MemberPage,
    ): List<MemberUpdate> {
        if (answer.hash == request.hash && answer.through == request.through) return emptyList()
        val theirs = answer.entries.associateBy(MemberUpdate::instance)
        return table
            .range(answer.after, answer.through)
            .filter { own -> theirs[own.instance]?.let { own.isNewerThan(it) } ?: (own.state != MemberState.DEAD) }
            .take(settings.pageSize)
    }
}
