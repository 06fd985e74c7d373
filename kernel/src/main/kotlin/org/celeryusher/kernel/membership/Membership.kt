package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random

/**
 * Decides which instances are live, suspected, leaving or dead, from what this node sees and hears (SWIM with Lifeguard's local health).
 *
 * The machine holds state but does nothing by itself: it has no clock, sockets or threads, and is not thread-safe. The runtime calls
 * [handle] for every event, one at a time, and carries out the decisions in order:
 * - [MembershipEvent.Ticked] every [MembershipSettings.tickInterval], from a loop that sleeps for what is left of the interval. Do not
 *   make up for missed ticks: the machine sees a late one as a pause of this process.
 * - `POST /control/gossip`: [MembershipEvent.MessageReceived]; the one [MembershipDecision.Reply] is the answer's body.
 * - [MembershipDecision.StartExchange]: fill in [GossipMessage.extra], post the message to the address without waiting in the loop, and
 *   send [MembershipEvent.ExchangeAnswered] or [MembershipEvent.ExchangeFailed] with its number. At most a handful run at a time.
 * - [MembershipEvent.PlatformListed] whenever this node has read the platform's list or got one from another node.
 * - [MembershipEvent.CallFailed] when a call to another instance was refused or broke off: it finds a death before the next probe.
 * - [MembershipDecision.ViewChanged]: compile a new routing table from the view; write one log line for each change.
 * - [MembershipDecision.RefreshBeforePlacing] until [MembershipDecision.PlacingAllowed]: hold new work back. The first tick starts so.
 * - At a planned stop: [MembershipEvent.LeaveStarted] at once, [MembershipEvent.Stopping] when the last request is done.
 *
 * [self] carries the incarnation of this process. [seeds] are control addresses to ask when the platform's list is not at hand.
 */
public class Membership(
    self: Member,
    private val seeds: List<Address> = emptyList(),
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val selfMember = SelfMember(self, self.incarnation ?: error("this node's own member has no incarnation"))
    private val table = MemberTable(selfMember)
    private val queue = NewsQueue(settings)
    private val health = LocalHealth()
    private val correspondence = Correspondence(selfMember, table, queue)
    private val probing = MemberProbing(settings, selfMember, table, correspondence, health)
    private val judgement = MemberJudgement(settings, selfMember, table, queue, health)
    private val sync = MemberListSync(settings, table, correspondence)
    private val refresh = PlacementRefresh(settings)
    private var lastTick: Moment? = null
    private var nextSeedAt = Moment.DISTANT_PAST

    /** The picture of the fleet after the last event, this node included. */
    public var view: MembershipView = table.view()
        private set

    /** This node's own incarnation, which rises when it refutes. */
    public val incarnation: Incarnation get() = selfMember.incarnation

    /** Whether new work must wait for [MembershipDecision.PlacingAllowed]. */
    public val isRefreshing: Boolean get() = refresh.isWaiting

    /** Whether the platform's last list has this node's own instance as leaving; the machine does not act on it. */
    public val isListedAsLeaving: Boolean get() = judgement.isSelfListedAsLeaving

    /** 1 for a healthy node; its probe interval and timeouts are stretched by this factor. */
    public val healthMultiplier: Int get() = health.multiplier

    /** Who is suspected by whom, for `status`. */
    public fun suspicions(): List<SuspicionReport> =
        table.all.mapNotNull { record ->
            record.suspicion?.let { SuspicionReport(record.instance, it.suspectedBy, it.startedAt, it.isHeldNoted) }
        }

    /** Takes in [event] and returns what to do, in order. [now] must not go back. */
    public fun handle(
        event: MembershipEvent,
        now: Moment,
        random: Random,
    ): List<MembershipDecision> {
        val step = Step(now, random)
        detectPause(step)
        when (event) {
            MembershipEvent.Ticked -> tick(step)
            is MembershipEvent.PlatformListed -> judgement.learnList(event.list, now)
            is MembershipEvent.MessageReceived -> receive(event.message, step)
            is MembershipEvent.ExchangeAnswered -> takeAnswer(event, step)
            is MembershipEvent.ExchangeFailed -> takeFailure(event.number, step)
            is MembershipEvent.CallFailed -> table[event.instance]?.let { probing.probeNow(it, step) }
            is MembershipEvent.PauseDetected -> resumeAfterPause(now - event.duration, step)
            MembershipEvent.LeaveStarted -> announce(MemberState.LEAVING, step)
            MembershipEvent.Stopping -> announce(MemberState.DEAD, step)
        }
        publishChanges(step)
        return step.decisions
    }

    private fun detectPause(step: Step) {
        val last = lastTick ?: return
        if (step.now - last > settings.tickInterval + settings.pauseThreshold) {
            lastTick = step.now
            resumeAfterPause(last, step)
        }
    }

    private fun resumeAfterPause(
        pausedAt: Moment,
        step: Step,
    ) {
        health.worsen(PAUSE_PENALTY)
        probing.forgetProbes(step.now)
        sync.forgetSessions()
        judgement.discountPause(pausedAt - settings.probeTimeout - settings.relayWait, step.now)
        refresh.require(RefreshCause.PAUSED, step)
    }

    private fun tick(step: Step) {
        if (lastTick == null) refresh.require(RefreshCause.STARTED, step)
        lastTick = step.now
        if (selfMember.state == MemberState.DEAD) return
        probing.tick(step).forEach { judgement.suspect(it, step.now) }
        judgement.tick(step.now)
        startRefreshes(step)
        refresh.tick(step)
        askSeed(step)
        if (!queue.isEmpty) gossip(1, step)
    }

    private fun receive(
        message: GossipMessage,
        step: Step,
    ) {
        learnAll(message, step)
        message.relayRequest?.let { probing.probeFor(message.sender.instance, it, step) }
        val reply = correspondence.messageTo(message.sender.instance)
        step += MembershipDecision.Reply(message.page?.let { reply.copy(page = sync.answer(it)) } ?: reply)
        if (message.page == null) compareHash(message, step)
    }

    private fun takeAnswer(
        event: MembershipEvent.ExchangeAnswered,
        step: Step,
    ) {
        val message = event.message
        learnAll(message, step)
        table[message.sender.instance]?.let(judgement::noteAnswer)
        probing.answered(event.number, message.sender.instance, step)
        if (sync.answered(event.number, message.page, step)) refresh.notePeer()
        if (message.page == null) compareHash(message, step)
    }

    private fun takeFailure(
        number: Long,
        step: Step,
    ) {
        sync.failed(number)
        probing.failed(number, step)
    }

    private fun learnAll(
        message: GossipMessage,
        step: Step,
    ) {
        if (message.sender.instance != selfMember.instance) judgement.learn(message.sender, MemberChangeReason.OWN_WORD, step.now)
        for (news in message.news + message.page?.entries.orEmpty()) {
            if (news.instance == selfMember.instance) refute(news, step) else judgement.learn(news, MemberChangeReason.NEWS, step.now)
        }
        for (result in message.relayedResults) {
            probing.relayed(result, message.sender.instance)?.let { judgement.suspect(it, step.now) }
        }
    }

    /** Raises this node's incarnation above [news] when that contradicts what the node is. */
    private fun refute(
        news: MemberNews,
        step: Step,
    ) {
        if (selfMember.state == MemberState.DEAD || !news.isNewerThan(selfMember.incarnation, selfMember.state)) return
        val isSameLife = news.start == selfMember.incarnation.start
        raiseIncarnation(
            if (isSameLife) Incarnation(news.start, news.refutation + 1) else Incarnation(news.start + 1),
            news.state,
            step,
        )
        if (isSameLife) health.worsen()
        if (isSameLife && news.state == MemberState.DEAD) refresh.require(RefreshCause.DECLARED_DEAD, step)
    }

    private fun announce(
        state: MemberState,
        step: Step,
    ) {
        if (selfMember.state >= state) return
        val before = selfMember.state
        selfMember.state = state
        table.noteSelfChange(before, MemberChangeReason.OWN_WORD)
        raiseIncarnation(selfMember.incarnation.copy(refutation = selfMember.incarnation.refutation + 1), state, step)
        gossip(ANNOUNCEMENT_FANOUT, step)
    }

    private fun raiseIncarnation(
        incarnation: Incarnation,
        cause: MemberState,
        step: Step,
    ) {
        selfMember.incarnation = incarnation
        table.noteSelfChange(selfMember.state, MemberChangeReason.OWN_WORD)
        queue.add(selfMember.instance)
        step += MembershipDecision.IncarnationRaised(incarnation, cause)
    }

    private fun gossip(
        fanout: Int,
        step: Step,
    ) {
        val targets =
            table.all
                .filter { it.state != MemberState.DEAD }
                .shuffled(step.random)
                .take(fanout)
        for (target in targets) {
            step +=
                correspondence.exchange(target.instance, target.place.controlAddress, settings.probeTimeout, ExchangePurpose.GOSSIP)
        }
    }

    private fun startRefreshes(step: Step) {
        if (!refresh.isWaiting) return
        val wanted = refresh.missing - sync.refreshesRunning
        if (wanted <= 0) return
        refreshCandidates(step)
            .filterNot { it.second in sync.refreshAddresses }
            .take(wanted)
            .forEach { (instance, address) -> sync.startRefresh(instance, address, step) }
    }

    private fun refreshCandidates(step: Step) =
        table.all
            .filter { it.state == MemberState.LIVE }
            .shuffled(step.random)
            .sortedBy { it.isOnlyListed }
            .map { it.instance to it.place.controlAddress } + seeds.shuffled(step.random).map { null to it }

    private fun askSeed(step: Step) {
        if (seeds.isEmpty() || step.now < nextSeedAt) return
        nextSeedAt = step.now + settings.syncInterval
        val isAlone = table.all.none { it.state == MemberState.LIVE && !it.isOnlyListed }
        if (isAlone) sync.startRefresh(null, seeds.random(step.random), step)
    }

    private fun compareHash(
        message: GossipMessage,
        step: Step,
    ) {
        val sender = table[message.sender.instance] ?: return
        if (selfMember.state != MemberState.DEAD) sync.compareHash(sender, message.membersHash, step)
    }

    private fun publishChanges(step: Step) {
        val changes = table.takeChanges()
        if (changes.isEmpty()) return
        view = table.view()
        step += MembershipDecision.ViewChanged(view, changes)
    }

    private companion object {
        const val PAUSE_PENALTY = 2
        const val ANNOUNCEMENT_FANOUT = 3
    }
}
