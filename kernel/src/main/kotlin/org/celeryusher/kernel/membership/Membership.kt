package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random

/**
 * Detects which instances are live, suspected, leaving or dead (SWIM with Lifeguard's local health).
 *
 * This is a state machine without clock, sockets or threads, and it is not thread-safe. The runtime calls [handle] for every event, one
 * at a time, and carries out the decisions in order:
 * - [MembershipEvent.Ticked] every [MembershipSettings.tickInterval], from a loop that sleeps for the rest of the interval. Do not make
 *   up for missed ticks: a late tick is handled as a pause of this process.
 * - `POST /control/gossip`: [MembershipEvent.MessageReceived]; the one [MembershipDecision.Reply] is the answer's body.
 * - [MembershipDecision.StartExchange]: fill in [GossipMessage.payload], post the message to the address without blocking the loop, and
 *   send [MembershipEvent.ExchangeAnswered] or [MembershipEvent.ExchangeFailed] with its number. Only a few run at a time.
 * - [MembershipEvent.PlatformListed] whenever this node has read the platform's list or received it from another node.
 * - [MembershipEvent.CallFailed] when a call to another instance was refused or interrupted: it detects a failure before the next probe.
 * - [MembershipDecision.ViewChanged]: compile a new routing table from the view, and write one log line for each change.
 * - [MembershipDecision.RefreshBeforePlacing] until [MembershipDecision.PlacingAllowed]: hold new work. The first tick starts a refresh.
 * - For a planned stop: [MembershipEvent.LeaveStarted] at once, [MembershipEvent.Stopping] when the last request is completed.
 *
 * [self] contains the incarnation of this process. [seeds] are control addresses to contact while the platform's list is not available.
 */
public class Membership(
    self: Member,
    private val seeds: List<Address> = emptyList(),
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private val own = SelfMember(self, self.incarnation ?: error("this node's own member has no incarnation"))
    private val table = MemberTable(own)
    private val queue = UpdateQueue(settings)
    private val health = LocalHealth()
    private val exchanges = ExchangeFactory(own, table, queue)
    private val prober = MemberProber(settings, own, table, exchanges, health)
    private val states = MemberStateMachine(settings, own, table, queue, health)
    private val sync = MemberListSync(settings, table, exchanges)
    private val refresh = PlacementRefresh(settings)
    private var lastTick: Moment? = null
    private var nextSeedExchangeAt = Moment.DISTANT_PAST

    /** The view of the fleet after the last event, this node included. */
    public var view: MembershipView = table.view()
        private set

    /** This node's own incarnation, which rises with each refutation. */
    public val incarnation: Incarnation get() = own.incarnation

    /** Whether new work must wait for [MembershipDecision.PlacingAllowed]. */
    public val isRefreshing: Boolean get() = refresh.isWaiting

    /** Whether the platform's last list shows this node's own instance as leaving; [Membership] does not act on it. */
    public val isListedAsLeaving: Boolean get() = states.isSelfListedAsLeaving

    /** The factor that extends the probe interval and timeouts of this node; 1 if it is healthy. */
    public val healthMultiplier: Int get() = health.multiplier

    /** Returns the current suspicions, for `status`. */
    public fun suspicions(): List<SuspicionReport> =
        table.all.mapNotNull { record ->
            record.suspicion?.let { SuspicionReport(record.instance, it.suspectedBy, it.startedAt, it.isEvictionHeld) }
        }

    /** Handles [event] and returns the decisions to carry out, in order. [now] must not decrease between calls. */
    public fun handle(
        event: MembershipEvent,
        now: Moment,
        random: Random,
    ): List<MembershipDecision> {
        val context = EventContext(now, random)
        detectPause(context)
        when (event) {
            MembershipEvent.Ticked -> tick(context)
            is MembershipEvent.PlatformListed -> states.applyList(event.list, now)
            is MembershipEvent.MessageReceived -> receive(event.message, context)
            is MembershipEvent.ExchangeAnswered -> handleAnswer(event, context)
            is MembershipEvent.ExchangeFailed -> handleFailure(event.number, context)
            is MembershipEvent.CallFailed -> table[event.instance]?.let { prober.probeNow(it, context) }
            is MembershipEvent.PauseDetected -> resumeAfterPause(now - event.duration, context)
            MembershipEvent.LeaveStarted -> announce(MemberState.LEAVING, context)
            MembershipEvent.Stopping -> announce(MemberState.DEAD, context)
        }
        publishChanges(context)
        return context.decisions
    }

    private fun detectPause(context: EventContext) {
        val last = lastTick ?: return
        if (context.now - last > settings.tickInterval + settings.pauseThreshold) {
            lastTick = context.now
            resumeAfterPause(last, context)
        }
    }

    private fun resumeAfterPause(
        pausedAt: Moment,
        context: EventContext,
    ) {
        health.worsen(PAUSE_PENALTY)
        prober.clearProbes(context.now)
        sync.clearSessions()
        states.compensateForPause(pausedAt - settings.probeTimeout - settings.relayWait, context.now)
        refresh.require(RefreshCause.PAUSED, context)
    }

    private fun tick(context: EventContext) {
        if (lastTick == null) refresh.require(RefreshCause.STARTED, context)
        lastTick = context.now
        if (own.state == MemberState.DEAD) return
        prober.tick(context).forEach { states.suspect(it, context.now) }
        states.tick(context.now)
        startRefreshes(context)
        refresh.tick(context)
        askSeed(context)
        if (!queue.isEmpty) gossip(1, context)
    }

    private fun receive(
        message: GossipMessage,
        context: EventContext,
    ) {
        applyUpdates(message, context)
        message.relayRequest?.let { prober.probeFor(message.sender.instance, it, context) }
        val reply = exchanges.createMessage(message.sender.instance)
        context += MembershipDecision.Reply(message.page?.let { reply.copy(page = sync.answer(it)) } ?: reply)
        if (message.page == null) compareHash(message, context)
    }

    private fun handleAnswer(
        event: MembershipEvent.ExchangeAnswered,
        context: EventContext,
    ) {
        val message = event.message
        applyUpdates(message, context)
        table[message.sender.instance]?.let(states::recordAnswer)
        prober.handleAnswer(event.number, message.sender.instance, context)
        if (sync.handleAnswer(event.number, message.page, context)) refresh.recordRefreshedPeer()
        if (message.page == null) compareHash(message, context)
    }

    private fun handleFailure(
        number: Long,
        context: EventContext,
    ) {
        sync.handleFailure(number)
        prober.handleFailure(number, context)
    }

    private fun applyUpdates(
        message: GossipMessage,
        context: EventContext,
    ) {
        if (message.sender.instance != own.instance) states.apply(message.sender, MemberChangeReason.OWN_WORD, context.now)
        for (update in message.updates + message.page?.entries.orEmpty()) {
            if (update.instance == own.instance) refute(update, context) else states.apply(update, MemberChangeReason.NEWS, context.now)
        }
        for (result in message.relayedResults) {
            prober.handleRelayedResult(result, message.sender.instance)?.let { states.suspect(it, context.now) }
        }
    }

    /** Raises this node's incarnation above that of [update] if the update contradicts the state of this node. */
    private fun refute(
        update: MemberUpdate,
        context: EventContext,
    ) {
        if (own.state == MemberState.DEAD || !update.isNewerThan(own.incarnation, own.state)) return
        val isSameProcess = update.start == own.incarnation.start
        raiseIncarnation(
            if (isSameProcess) Incarnation(update.start, update.refutation + 1) else Incarnation(update.start + 1),
            update.state,
            context,
        )
        if (isSameProcess) health.worsen()
        if (isSameProcess && update.state == MemberState.DEAD) refresh.require(RefreshCause.DECLARED_DEAD, context)
    }

    private fun announce(
        state: MemberState,
        context: EventContext,
    ) {
        if (own.state >= state) return
        val before = own.state
        own.state = state
        table.recordSelfChange(before, MemberChangeReason.OWN_WORD)
        raiseIncarnation(own.incarnation.copy(refutation = own.incarnation.refutation + 1), state, context)
        gossip(ANNOUNCEMENT_FANOUT, context)
    }

    private fun raiseIncarnation(
        incarnation: Incarnation,
        cause: MemberState,
        context: EventContext,
    ) {
        own.incarnation = incarnation
        table.recordSelfChange(own.state, MemberChangeReason.OWN_WORD)
        queue.add(own.instance)
        context += MembershipDecision.IncarnationRaised(incarnation, cause)
    }

    private fun gossip(
        fanout: Int,
        context: EventContext,
    ) {
        val targets =
            table.all
                .filter { it.state != MemberState.DEAD }
                .shuffled(context.random)
                .take(fanout)
        for (target in targets) {
            context +=
                exchanges.create(target.instance, target.metadata.controlAddress, settings.probeTimeout, ExchangePurpose.GOSSIP)
        }
    }

    private fun startRefreshes(context: EventContext) {
        if (!refresh.isWaiting) return
        val needed = refresh.missingPeers - sync.runningRefreshes
        if (needed <= 0) return
        refreshCandidates(context)
            .filterNot { it.second in sync.refreshAddresses }
            .take(needed)
            .forEach { (instance, address) -> sync.startRefresh(instance, address, context) }
    }

    private fun refreshCandidates(context: EventContext) =
        table.all
            .filter { it.state == MemberState.LIVE }
            .shuffled(context.random)
            .sortedBy { it.isOnlyListed }
            .map { it.instance to it.metadata.controlAddress } + seeds.shuffled(context.random).map { null to it }

    private fun askSeed(context: EventContext) {
        if (seeds.isEmpty() || context.now < nextSeedExchangeAt) return
        nextSeedExchangeAt = context.now + settings.syncInterval
        val isAlone = table.all.none { it.state == MemberState.LIVE && !it.isOnlyListed }
        if (isAlone) sync.startRefresh(null, seeds.random(context.random), context)
    }

    private fun compareHash(
        message: GossipMessage,
        context: EventContext,
    ) {
        val sender = table[message.sender.instance] ?: return
        if (own.state != MemberState.DEAD) sync.compareHash(sender, message.membersHash, context)
    }

    private fun publishChanges(context: EventContext) {
        val changes = table.drainChanges()
        if (changes.isEmpty()) return
        view = table.view()
        context += MembershipDecision.ViewChanged(view, changes)
    }

    private companion object {
        const val PAUSE_PENALTY = 2
        const val ANNOUNCEMENT_FANOUT = 3
    }
}
