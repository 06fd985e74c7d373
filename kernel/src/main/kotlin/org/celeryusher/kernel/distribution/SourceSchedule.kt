package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides whether one node reads the platform itself or asks another node, so that the load on the platform does not grow with the fleet.
 *
 * Rendezvous hashing gives all nodes the same order of live instances, of which those come later on whose links the document in force takes
 * too long ([DocumentLimit]). A node learns who these are from those that it asks, which decline. The first ones read the platform, the
 * others ask one of them. There is no election and no shared state: a node that is asked reads the platform itself, whatever its own view of the order. A peer that fails
 * or has old data is left out for a while and the next candidate is asked, which reads from then on. So only the candidates read a platform
 * in trouble, whatever the size of the fleet. Each other node tries it at intervals that grow with the fleet, in case all candidates are
 * turned away; one that is served offers its data to the candidates ([PeerOffers]). Not thread-safe.
 */
public class SourceSchedule(
    private val settings: SourceScheduleSettings = SourceScheduleSettings(),
    linkMegabitsPerSecond: Double? = null,
) {
    private val readerOrder = ReaderOrder(settings.candidates, settings.considered)
    private val declining = DecliningInstances(DocumentLimit.bytesWithin(settings.longestDocumentTime, linkMegabitsPerSecond))
    private val offers = PeerOffers()
    private val excluded = HashMap<InstanceName, Exclusion>()
    private var mustReadPlatform = true
    private var mustReadSince: Moment? = null

    /** The time until which the platform is not read, because it did not answer. */
    public var platformPausedUntil: Moment = Moment.DISTANT_PAST
        private set
    private var platformAnsweredAt = Moment.DISTANT_PAST
    private var lastQueryAt = Moment.DISTANT_PAST
    private var newestData = Moment.DISTANT_PAST
    private var nextProbeAt: Moment? = null
    private var isSearching = false
    private var silentInSuccession = 0
    private var lastSentAt = Moment.DISTANT_PAST
    private var nextQueryAt = Moment.DISTANT_PAST
    private var nextRetryAt = Moment.DISTANT_PAST
    private var isReader = false
    private var isTurnedAway = false

    /** A peer that is not asked before [until], when its data was confirmed, if it has any, and whether it can still read the platform. */
    private class Exclusion(
        val until: Moment,
        val confirmedAt: Moment?,
        val isServed: Boolean,
    )

    /** Returns the source of the next read at [now]. [own] is the instance beside this node, or null when none is listed. */
    public fun choose(
        view: MembershipView,
        own: InstanceName?,
        now: Moment,
    ): SourceChoice {
        updateOrder(view, own)
        if (mustReadPlatform && mustReadSince == null) mustReadSince = now
        isReader = readerOrder.position < settings.readers
        val isPaused = now < platformPausedUntil
        if (!isPaused && (mustReadPlatform || readsContinuously(own, now))) return SourceChoice.Platform
        if (!isPaused && offers.isCheckDue(now)) return SourceChoice.Platform
        val others = readerOrder.candidates.filter { it.instance != own }
        return when {
            others.isEmpty() -> if (isPaused) SourceChoice.WaitUntil(platformPausedUntil) else SourceChoice.Platform
            isSearching && isProbeDue(now) -> SourceChoice.Platform
            now < nextQueryAt && !isFirstRound(others, now) -> waitForNextQuery(now)
            else -> choosePeer(others, own, now)?.let(::queryOf) ?: queryOfNewest(others, now)
        }.also { if (it is SourceChoice.Peer) lastSentAt = now }
    }

    /** Returns the nodes other than [own] that read the platform before all others, which know most of it. */
    public fun firstCandidates(
        view: MembershipView,
        own: InstanceName?,
    ): List<Member> {
        updateOrder(view, own)
        return readerOrder.candidates.filter { it.instance != own }.take(settings.readers)
    }

    /** Records that the platform answered a read of this node at [now]. */
    public fun platformAnswered(now: Moment) {
        mustReadPlatform = false
        platformPausedUntil = Moment.DISTANT_PAST
        platformAnsweredAt = now
        isTurnedAway = false
        // The candidates with old data are asked anew, so that all of them receive the offer of this node.
        if (readerOrder.position >= readerOrder.candidates.size) excluded.values.removeIf { it.confirmedAt != null }
        offers.clear()
        newestData = maxOf(newestData, now)
        isSearching = false
    }

    /** Records that the platform did not answer at [now] and is read again after [pause]. */
    public fun platformFailed(
        pause: Duration,
        now: Moment,
    ) {
        val knowsOthers = readerOrder.candidates.isNotEmpty()
        platformPausedUntil = now + if (isReader || !knowsOthers) pause else maxOf(pause * settings.pauseFactor, settings.shortestPause)
        isTurnedAway = true
        // A node that knows others follows them from here on; reading for itself would add to the load on a platform in trouble.
        if (knowsOthers) mustReadPlatform = false
    }

    /**
     * Records the answer of [peer], whose data was confirmed by the platform at [confirmedAt], or null if it has none, and which states
     * whether the platform answers it ([isServed]). It was in contact with the platform at [contactAt], which may be later ([SourceContact]).
     *
     * Returns whether the peer is recent enough to be followed.
     */
    public fun peerAnswered(
        peer: InstanceName,
        confirmedAt: Moment?,
        now: Moment,
        isServed: Boolean,
        contactAt: Moment? = confirmedAt,
    ): Boolean {
        silentInSuccession = 0
        nextQueryAt = lastSentAt + settings.queryInterval
        newestData = maxOf(newestData, contactAt ?: newestData)
        if (confirmedAt == null || contactAt == null || now - contactAt > settings.maximumDataAge) {
            offers.failed(peer)
            exclude(peer, Exclusion(now + oldDataPause(), confirmedAt, isServed), now)
            return false
        }
        excluded -= peer
        nextProbeAt = null
        isSearching = false
        if (confirmedAt >= (mustReadSince ?: now)) mustReadPlatform = false
        return true
    }

    /** Records that [peer] did not answer. */
    public fun peerFailed(
        peer: InstanceName,
        now: Moment,
    ) {
        offers.failed(peer)
        exclude(peer, Exclusion(now + settings.peerPause, confirmedAt = null, isServed = false), now)
        silentInSuccession++
        // One read only: while all candidates are gone, one after each further failure would make the calls grow with the fleet.
        if (silentInSuccession == settings.silentPeers) mustReadPlatform = true
    }

    /** Records that the document in force has [bytes] as published, or null before the first one. */
    public fun documentInForce(bytes: Int?): Unit = declining.documentIs(bytes)

    /** Whether this node declines to be asked for the platform's data. */
    public val declines: Boolean get() = declining.includesOwn

    /** The number of other instances that are known to decline. */
    public val othersDeclining: Int get() = declining.names.size - if (declines) 1 else 0

    /** The limit of this node while it declines, or null. */
    public val ownLimit: DocumentLimit? get() = declining.ownStatement

    /** Returns the limit of this node, if it declines, with those of the ones that decline after it in rendezvous order, or null. */
    public fun declinedLimits(): List<DocumentLimit>? {
        val own = declining.ownStatement ?: return null
        val next = readerOrder.considered.dropWhile { it != own.instance }.drop(1)
        return listOf(own) + next.mapNotNull(declining::statementOf).take(settings.statedLimits)
    }

    /** Records the [limits] that other nodes have stated, as far as they count for the order of readers. */
    public fun recordLimits(limits: List<DocumentLimit>): Unit = declining.add(limits.filter { it.instance in readerOrder.considered })

    /**
     * Records that [peer] declines and knows the [limits] of others.
     *
     * Returns whether that is new. The next candidate is asked at once then; otherwise the answer counts like any other, so that the number
     * of queries that follow each other without pause is bounded by that of the instances.
     */
    public fun peerDeclined(
        peer: InstanceName,
        limits: List<DocumentLimit>,
    ): Boolean {
        val wasKnown = peer in declining.names
        recordLimits(limits)
        if (wasKnown || peer !in declining.names) return false
        silentInSuccession = 0
        nextQueryAt = Moment.DISTANT_PAST
        return true
    }

    /** Records that another node asked this one at [now]. */
    public fun queried(now: Moment) {
        lastQueryAt = now
    }

    /** Records that the node beside [peer] stated at [now] that the platform answers it. */
    public fun offered(
        peer: InstanceName,
        now: Moment,
    ): Unit = offers.add(peer, now)

    /** Returns whether this node reads the platform at [now] and is answered. */
    public fun isServed(now: Moment): Boolean = !isTurnedAway && now - platformAnsweredAt <= settings.readingAfterQuery

    /** Returns how this node gets the platform's data at [now]. */
    public fun mode(now: Moment): SourceMode =
        when {
            isServed(now) -> SourceMode.READING
            isSearching || newestData == Moment.DISTANT_PAST -> SourceMode.SEARCHING
            else -> SourceMode.FOLLOWING
        }

    /** Returns whether this node tells the peers that it asks that the platform answers it. */
    public fun offersData(now: Moment): Boolean = isSearching && now - platformAnsweredAt <= settings.maximumDataAge

    /** Records that this process was paused: what it knows is old, so it reads the platform itself. */
    public fun resumed() {
        mustReadPlatform = true
        mustReadSince = null
    }

    /** A candidate reads once all but one of the candidates before it are excluded. */
    private fun readsContinuously(
        own: InstanceName?,
        now: Moment,
    ): Boolean {
        if (now - lastQueryAt <= settings.readingAfterQuery) return true
        // A node that declines leaves the reads to one that does not, also if that is the only one.
        if (declines && readerOrder.candidates.any { !readerOrder.declines(it.instance) && isUsable(it, now) }) return false
        val isCandidate = readerOrder.position < readerOrder.candidates.size
        return isCandidate && readerOrder.candidates.takeWhile { it.instance != own }.count { isUsable(it, now) } < settings.readers
    }

    private fun updateOrder(
        view: MembershipView,
        own: InstanceName?,
    ) {
        if (!readerOrder.isOf(view, own)) declining.instancesAre(own, view.members.mapTo(HashSet()) { it.instance })
        readerOrder.update(view, own, declining.names)
    }

    private fun exclude(
        peer: InstanceName,
        exclusion: Exclusion,
        now: Moment,
    ) {
        // During a search, records are kept beyond their end, since they show which candidates have been asked.
        if (!isSearching) excluded.values.removeIf { it.until <= now }
        excluded[peer] = exclusion
        isSearching = true
    }

    private fun isUsable(
        member: Member,
        now: Moment,
    ): Boolean {
        val exclusion = excluded[member.instance] ?: return true
        return !isSearching && exclusion.until <= now
    }

    /**
     * Returns one of the first candidates that are not excluded. Different nodes choose different ones, which shares out the load.
     *
     * Once all [others] have been asked in vain, it returns the one whose exclusion ended first, but none within
     * [SourceScheduleSettings.oldDataPause] after another one, so that queries do not follow each other without pause during an outage.
     */
    private fun choosePeer(
        others: List<Member>,
        own: InstanceName?,
        now: Moment,
    ): Member? {
        val offering = offers.peer.takeIf { isTurnedAway && it != own }?.let(readerOrder::memberOf)
        if (offering != null && isUsable(offering, now)) return offering
        val usable = others.filter { isUsable(it, now) }
        if (usable.isEmpty() || (isSearching && isNewestServed(others))) return chooseRetried(others, now)
        val willing = usable.filterNot { readerOrder.declines(it.instance) }.ifEmpty { usable }
        val nearest = willing.take(settings.readers).associateBy { it.instance }
        return RendezvousOrder.sorted("$own", nearest.keys).firstOrNull()?.let(nearest::getValue)
    }

    private fun chooseRetried(
        others: List<Member>,
        now: Moment,
    ): Member? {
        val newest = newestOf(others)
        val first = others.filter { it != newest }.minByOrNull(::usableAt) ?: return null
        if (now < maxOf(nextRetryAt, usableAt(first))) return null
        nextRetryAt = now + oldDataPause() * if (isNewestServed(others)) 2 else 1
        return first
    }

    /** In a search, each candidate is asked once without pause, so that a change, or an offer of this node's data, is not delayed. */
    private fun isFirstRound(
        others: List<Member>,
        now: Moment,
    ): Boolean = isSearching && !isNewestServed(others) && others.any { isUsable(it, now) }

    private fun waitForNextQuery(now: Moment): SourceChoice.WaitUntil =
        SourceChoice.WaitUntil(if (now < platformPausedUntil) minOf(nextQueryAt, platformPausedUntil) else nextQueryAt)

    /** Returns whether the platform still answers the newest candidate, only slowly, so that it is the first to have news. */
    private fun isNewestServed(others: List<Member>): Boolean = newestOf(others)?.let { excluded.getValue(it.instance).isServed } == true

    private fun oldDataPause(): Duration =
        if (readerOrder.position < readerOrder.candidates.size) settings.candidatePause else settings.oldDataPause

    private fun usableAt(member: Member): Moment = excluded[member.instance]?.until ?: Moment.DISTANT_PAST

    /** Returns the one of [others] whose data is newest, preferably one that the platform still answers, or null if none has any. */
    private fun newestOf(others: List<Member>): Member? =
        others
            .filter { excluded[it.instance]?.confirmedAt != null }
            .maxWithOrNull(compareBy({ excluded.getValue(it.instance).isServed }, { excluded.getValue(it.instance).confirmedAt!! }))

    /** After a failure the next peer answers at once, so that two failures in succession delay a change little more than one. */
    private fun queryOf(peer: Member): SourceChoice.Peer =
        (if (isSearching) Duration.ZERO else settings.queryWait).let {
            SourceChoice.Peer(peer, it, it + settings.queryMargin, acceptsDeclining = readerOrder.declines(peer.instance))
        }

    /** Attempts of the nodes of a fleet follow each other in reader order, and each node's next one comes after those of all others. */
    private fun isProbeDue(now: Moment): Boolean {
        // A read of a slow platform takes as long as this node then asks nobody, so it waits longer while a candidate is served.
        val isAnyServed = readerOrder.candidates.any { excluded[it.instance]?.isServed == true }
        val preceding = readerOrder.position - readerOrder.candidates.size
        if (preceding < 0 || now - newestData < if (isAnyServed) settings.probeAge * 2 else settings.probeAge) return false
        val due = nextProbeAt ?: (now + (preceding / settings.probesPerSecond).seconds).also { nextProbeAt = it }
        if (now < due) return false
        nextProbeAt = now + (readerOrder.size / settings.probesPerSecond).seconds
        return true
    }

    /** Returns a query of the candidate with the newest data, which is old at all of [others], or a wait if none has answered. */
    private fun queryOfNewest(
        others: List<Member>,
        now: Moment,
    ): SourceChoice {
        val newest = newestOf(others)
        val retried = others.filter { it != newest }.minOfOrNull { maxOf(usableAt(it), nextRetryAt) }
        val end = listOfNotNull(retried, nextProbeAt, platformPausedUntil).filter { it > now }.minOrNull() ?: (now + settings.queryWait)
        val wait = minOf(end - now, settings.oldDataPause)
        if (newest == null || wait < settings.shortestHold) return SourceChoice.WaitUntil(maxOf(end, now + settings.shortestWait))
        val acceptsDeclining = readerOrder.declines(newest.instance)
        return SourceChoice.Peer(newest, wait, wait + settings.queryMargin, acceptsOldData = true, acceptsDeclining)
    }
}
