package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/**
 * Admission controller of one backend server: decides which calls start, which are queued, and which are refused.
 *
 * Each event function returns the decisions that the event causes, which may concern calls other than the one in the event. The
 * controller has no lock, thread or clock: its user passes the current time, executes the decisions, and synchronizes access. An event
 * takes O(ranks) time plus O(log(queue length)) for each call that it decides on.
 *
 * A time earlier than that of a previous event is replaced by the latest time seen.
 */
public class AdmissionController<Key : Any>(
    policy: AdmissionPolicy,
    now: Moment,
    cold: ColdLimit = ColdLimit(now),
    hold: ResumeHold = ResumeHold(cold, now),
) {
    private var policy = policy
    private val pace = ServerPace()
    private val room = ServerRoom(pace)
    private val limit = ConcurrencyLimit(policy, room)
    private val ranks = RankStates<Key>(policy, pace)
    private val exclusive = ExclusiveCalls<Key>()
    private val calls = AdmittedCalls(ranks, exclusive)
    private val rate = StartRate(cold, hold)
    private val waits = AdmissionWaits(ranks, exclusive, rate, limit)
    private var running = 0
    private var capacity = limit.at(now)
    private var lastEventAt = now
    private var sequence = 0L
    private var drainStartedAt: Moment? = null
    private var isEvacuated = false
    private var decisions = ArrayList<AdmissionDecision<Key>>()

    private val takesCalls: Boolean get() = drainStartedAt == null && !isEvacuated

    /** Whether a drain has completed: no new calls are admitted and none are running. */
    public val isDrained: Boolean get() = drainStartedAt != null && running == 0

    /** When calls that are still running must be aborted, or null when no drain is in progress. */
    public val drainEndsAt: Moment? get() = drainStartedAt?.plus(policy.drainLimit)

    /**
     * Handles the arrival of a call.
     *
     * @throws IllegalArgumentException if the key belongs to a call that is queued or running.
     */
    public fun arrive(
        request: AdmissionRequest<Key>,
        now: Moment,
    ): List<AdmissionDecision<Key>> =
        handle(now) { moment ->
            require(calls[request.key] == null) { "call ${request.key} is already queued or running" }
            sequence += 1
            val call = AdmissionCall(request, ranks.at(request.rankPosition), moment, sequence)
            ranks.arrive(call, moment)
            startQueued(moment)
            when {
                drainStartedAt != null -> refuse(call, RefusalCause.DRAINING, Duration.ZERO)
                isEvacuated -> refuse(call, RefusalCause.EVACUATED, Duration.ZERO)
                !request.isInRegion -> refuse(call, RefusalCause.OUTSIDE_REGION, Duration.ZERO)
                request.deadline <= moment -> refuse(call, RefusalCause.DEADLINE_UNREACHABLE, Duration.ZERO)
                request.isExclusive -> enqueueExclusive(call)
                hasFreeSlot(moment) && ranks.queued == 0 && fits(request) -> start(call, StartReason.FREE_SLOT, moment)
                else -> enqueue(call, moment)
            }
        }

    /** Handles the end of the running call [key], which took [serviceTime] on the backend server. Ignored when no such call is running. */
    public fun finished(
        key: Key,
        serviceTime: Duration,
        outcome: ServiceOutcome,
        now: Moment,
    ): List<AdmissionDecision<Key>> =
        handle(now) { moment ->
            val call = calls[key]
            if (call?.startedAt != null) {
                calls.removeEnded(key)
                call.startedAt?.let { rate.ended(it, moment) }
                running -= 1
                room.ended(call.request.bytes)
                ranks.finish(call, serviceTime, capacity, moment)
                if (call.request.isExclusive) exclusive.finish(moment)
                val atUsualSpeed = serviceTime / ((call.slowdown + pace.factor(moment)) / 2)
                limit.record(call.rank.serviceTime, serviceTime, atUsualSpeed, outcome, moment)
                capacity = limit.at(moment)
            }
        }

    /** Handles the cancellation of [key] by its caller: refuses the call if it is queued. Ignored when the call is running or unknown. */
    public fun cancel(
        key: Key,
        now: Moment,
    ): List<AdmissionDecision<Key>> =
        handle(now) {
            val call = calls[key]
            if (call != null && call.startedAt == null) refuseQueued(call, RefusalCause.CANCELLED)
        }

    /** Starts the drain of the backend server: refuses all queued and all new calls, and lets running calls finish. */
    public fun drain(now: Moment): List<AdmissionDecision<Key>> =
        handle(now) { moment ->
            if (drainStartedAt == null) drainStartedAt = moment
            calls.forEachQueued { refuseQueued(it, RefusalCause.DRAINING) }
        }

    /**
     * Handles the start or the end of an evacuation of the backend server's data centre: while it lasts, all queued and all new calls are
     * refused, and running calls finish. It is independent of a drain, which ends with the start of another process of the server.
     */
    public fun changeEvacuation(
        isEvacuated: Boolean,
        now: Moment,
    ): List<AdmissionDecision<Key>> =
        handle(now) {
            this.isEvacuated = isEvacuated
            if (isEvacuated) calls.forEachQueued { refuseQueued(it, RefusalCause.EVACUATED) }
        }

    /** Handles the news that the routes of the calls [keys] no longer allow the region of the backend server: refuses those that are queued. */
    public fun leftRegion(
        keys: Collection<Key>,
        now: Moment,
    ): List<AdmissionDecision<Key>> =
        handle(now) {
            calls.queuedOf(keys).forEach { refuseQueued(it, RefusalCause.OUTSIDE_REGION) }
        }

    /** Handles what the backend server has stated about itself in an answer: its limit on calls a second, or that it drains. */
    public fun serverNoticed(
        notice: ServerNotice,
        now: Moment,
    ): List<AdmissionDecision<Key>> {
        val drained = if (notice.isLeaving) drain(now) else emptyList()
        return drained + handle(now) { moment -> recordNotice(notice, moment) }
    }

    /** Handles the limit on calls a second that a proxy knows of. It counts until the backend server itself has answered. */
    public fun rateSuggested(
        callsPerSecond: Double?,
        now: Moment,
    ): List<AdmissionDecision<Key>> = handle(now) { moment -> rate.suggest(callsPerSecond, moment) }

    /** Replaces the policy, and refuses queued calls that exceed the queue capacity of the new one. */
    public fun changePolicy(
        changed: AdmissionPolicy,
        now: Moment,
    ): List<AdmissionDecision<Key>> =
        handle(now) { moment ->
            policy = changed
            limit.changePolicy(changed)
            ranks.changePolicy(changed)
            capacity = limit.at(moment)
            while (true) {
                refuseQueued(ranks.excessCall(moment) ?: break, RefusalCause.QUEUE_FULL)
            }
        }

    /** Handles a start of the backend server: ends any drain, and restarts the slow start, over which the concurrency limit rises. */
    public fun serverStarted(now: Moment): List<AdmissionDecision<Key>> =
        handle(now) { moment ->
            drainStartedAt = null
            rate.reset(moment)
            pace.reset()
            room.reset()
            limit.serverStarted(moment)
            capacity = limit.at(moment)
        }

    /** Handles the passing of time: starts queued calls that may start now, and refuses those that have expired. See [nextTick]. */
    public fun tick(now: Moment): List<AdmissionDecision<Key>> = handle(now) {}

    /** Returns when [tick] is next due if no other event occurs before, or null when nothing depends on the passing of time. */
    public fun nextTick(): Moment? = waits.nextDecision(policy, running < capacity, lastEventAt)

    /** Returns the load report for proxies. */
    public fun load(now: Moment): GuardLoad {
        val moment = maxOf(now, lastEventAt)
        val rankLoads = if (takesCalls) ranks.all.map { waits.rankLoad(it, hasFreeSlot(moment), capacity, moment) } else emptyList()
        val isBlocked = pace.isStated && ranks.queued > 0
        val startable = if (isBlocked) running else rate.permits(moment)?.let { running + it } ?: Int.MAX_VALUE
        return GuardLoad(
            minOf(limit.at(moment), startable),
            running,
            ranks.queued + exclusive.queue.size,
            rankLoads,
            rate.perSecond(moment),
            slowdown = pace.slowdown(moment),
            statedCallsPerSecond = rate.statedPerSecond,
        )
    }

    /** Returns what the answers of the backend server have shown about its load. */
    public fun paceStatus(now: Moment): PaceStatus =
        PaceStatus(pace.slowdown(now), limit.at(now), limit.declared(now), room.refusals, room.bytes)

    private fun recordNotice(
        notice: ServerNotice,
        now: Moment,
    ) {
        rate.state(notice.requestsPerSecond, now)
        val load = notice.load ?: return
        load.slowdown?.let { pace.state(it, now) }
        room.state(load, now)
        capacity = limit.at(now)
    }

    private fun fits(request: AdmissionRequest<Key>): Boolean = room.fits(request.bytes, policy.maximumServerBytes)

    private inline fun handle(
        now: Moment,
        apply: (Moment) -> Unit,
    ): List<AdmissionDecision<Key>> {
        val moment = maxOf(now, lastEventAt)
        ranks.advance(moment - lastEventAt, capacity, moment)
        lastEventAt = moment
        capacity = limit.at(moment)
        calls.forEachExpired(moment) { refuseQueued(it, RefusalCause.DEADLINE_UNREACHABLE) }
        apply(moment)
        startQueued(moment)
        if (decisions.isEmpty()) return emptyList()
        return decisions.also { decisions = ArrayList() }
    }

    private fun hasFreeSlot(now: Moment): Boolean = running < capacity && !exclusive.blocksOthers && rate.permits(now) != 0

    private fun startQueued(now: Moment) {
        if (rate.permits(now) != 0) exclusive.startNext(running, ranks.queued, now)?.let { start(it, StartReason.ALONE, now) }
        while (hasFreeSlot(now)) {
            val (call, reason) = ranks.next(now)?.takeIf { (next, _) -> fits(next.request) } ?: return
            start(call, reason, now)
        }
    }

    private fun start(
        call: AdmissionCall<Key>,
        reason: StartReason,
        now: Moment,
    ) {
        decisions += AdmissionDecision.Start(call.request.key, inputs(call.rank), now - call.arrivedAt, reason)
        rate.take(now)
        room.started(call.request.bytes)
        call.slowdown = pace.factor(now)
        ranks.start(call, reason, capacity, now)
        calls.start(call)
        running += 1
    }

    private fun enqueue(
        call: AdmissionCall<Key>,
        now: Moment,
    ) {
        val rank = call.rank
        val origin = call.request.origin
        val wait = waits.expectedWait(rank, call.isLate, capacity, now, origin)
        if (now + wait > call.latestStart(now)) return refuse(call, RefusalCause.WAIT_OUTLASTS_DEADLINE, wait)
        if (!ranks.hasCapacityFor(rank, call.isLate, now, origin)) return refuse(call, RefusalCause.QUEUE_FULL, wait)
        ranks.displacedBy(rank, call.isLate, now, origin)?.let { refuseQueued(it, RefusalCause.DISPLACED) }
        decisions += AdmissionDecision.Enqueued(call.request.key, inputs(rank), wait)
        calls.enqueue(call)
    }

    private fun enqueueExclusive(call: AdmissionCall<Key>) {
        val wait = waits.expectedExclusiveWait(call.rank, lastEventAt)
        if (exclusive.queue.size >= policy.slots) return refuse(call, RefusalCause.QUEUE_FULL, wait)
        decisions += AdmissionDecision.Enqueued(call.request.key, inputs(call.rank), wait)
        calls.enqueue(call)
    }

    private fun refuseQueued(
        call: AdmissionCall<Key>,
        cause: RefusalCause,
    ) {
        calls.removeQueued(call)
        val wait = if (takesCalls) waits.expectedWait(call.rank, call.isLate, capacity, lastEventAt) else Duration.ZERO
        refuse(call, cause, wait)
    }

    private fun refuse(
        call: AdmissionCall<Key>,
        cause: RefusalCause,
        retryAfter: Duration,
    ) {
        decisions += AdmissionDecision.Refuse(call.request.key, inputs(call.rank), cause, retryAfter)
    }

    private fun inputs(rank: RankState<Key>): AdmissionInputs =
        AdmissionInputs(rank.position, running, capacity, rank.queue.size, ranks.queued + exclusive.queue.size)
}
