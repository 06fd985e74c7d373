package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** A comparison of the member lists with one peer, page by page. */
private class SyncSession(
    val peer: InstanceName?,
    val address: Address,
    val isForRefresh: Boolean,
    var pagesLeft: Int,
    var page: MemberPage,
)

/**
 * Brings two nodes' member lists together (anti-entropy), after a start, a pause or a healed partition, and when hashes differ.
 *
 * A page whose hash agrees costs a few bytes; only pages that differ carry entries. A comparison that a differing hash started is
 * bounded to [MembershipSettings.pagesPerSync] pages and the next one goes on where it stopped, so that the cost does not grow
 * with the fleet.
 */
internal class MemberListSync(
    private val settings: MembershipSettings,
    private val table: MemberTable,
    private val correspondence: Correspondence,
) {
    private val sessions = mutableMapOf<Long, SyncSession>()
    private var nextStartAt = Moment.DISTANT_PAST
    private var resumeAfter: InstanceName? = null

    /** How many refreshing comparisons run. */
    val refreshesRunning: Int get() = sessions.values.count { it.isForRefresh }

    /** The peers of the refreshing comparisons that run. */
    val refreshAddresses: Set<Address> get() = sessions.values.filter { it.isForRefresh }.mapTo(mutableSetOf()) { it.address }

    /** Starts a whole comparison with the node at [address]. */
    fun startRefresh(
        peer: InstanceName?,
        address: Address,
        step: Step,
    ): Unit = request(SyncSession(peer, address, isForRefresh = true, Int.MAX_VALUE, requestPage(null, emptyList())), step)

    /** Starts a comparison with [peer] when its [hash] differs and the last comparison is long enough ago. */
    fun compareHash(
        peer: MemberRecord,
        hash: Long,
        step: Step,
    ) {
        if (hash == table.hash() || step.now < nextStartAt) return
        nextStartAt = step.now + settings.syncInterval
        val page = requestPage(resumeAfter, emptyList())
        request(SyncSession(peer.instance, peer.place.controlAddress, isForRefresh = false, settings.pagesPerSync, page), step)
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

    /** Goes on after the answer to exchange [number], whose entries are taken in already; returns whether a refresh ended with it. */
    fun answered(
        number: Long,
        answer: MemberPage?,
        step: Step,
    ): Boolean {
        val session = sessions.remove(number) ?: return false
        if (answer == null) return false
        val missing = lackedByPeer(session.page, answer)
        session.pagesLeft--
        val isLast = answer.through == null || session.pagesLeft == 0
        if (!session.isForRefresh) resumeAfter = answer.through
        if (isLast && missing.isEmpty()) return session.isForRefresh
        session.page = if (isLast) finalPage(missing) else requestPage(answer.through, missing)
        if (isLast) sendLast(session, step) else request(session, step)
        return isLast && session.isForRefresh
    }

    fun failed(number: Long) {
        sessions.remove(number)
    }

    /** Forgets the comparisons under way. */
    fun forgetSessions() {
        sessions.clear()
    }

    private fun request(
        session: SyncSession,
        step: Step,
    ) {
        val exchange = exchange(session)
        sessions[exchange.number] = session
        step += exchange
    }

    private fun sendLast(
        session: SyncSession,
        step: Step,
    ) {
        step += exchange(session)
    }

    private fun exchange(session: SyncSession) =
        correspondence.exchange(session.peer, session.address, settings.probeTimeout, ExchangePurpose.SYNC) { copy(page = session.page) }

    private fun requestPage(
        after: InstanceName?,
        lacked: List<MemberNews>,
    ): MemberPage {
        val rest = table.range(after, null)
        val range = rest.take(settings.pageSize)
        val through = if (range.size < rest.size) range.last().instance else null
        return MemberPage(after, through, MemberTable.hashOf(range), lacked)
    }

    /** A page that only hands over [lacked]: its empty range agrees with the peer's at once. */
    private fun finalPage(lacked: List<MemberNews>): MemberPage {
        val end = lacked.last().instance
        return MemberPage(end, end, MemberTable.hashOf(emptyList()), lacked)
    }

    private fun lackedByPeer(
        request: MemberPage,
        answer: MemberPage,
    ): List<MemberNews> {
        if (answer.hash == request.hash && answer.through == request.through) return emptyList()
        val theirs = answer.entries.associateBy(MemberNews::instance)
        return table
            .range(answer.after, answer.through)
            .filter { own -> theirs[own.instance]?.let { own.isNewerThan(it) } ?: (own.state != MemberState.DEAD) }
            .take(settings.pageSize)
    }
}
