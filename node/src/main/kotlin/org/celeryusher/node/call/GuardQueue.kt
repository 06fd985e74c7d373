package org.celeryusher.node.call

import kotlinx.coroutines.channels.Channel
import org.celeryusher.kernel.admission.AdmissionController
import org.celeryusher.kernel.admission.AdmissionDecision
import org.celeryusher.kernel.admission.AdmissionPolicy
import org.celeryusher.kernel.admission.AdmissionRequest
import org.celeryusher.kernel.admission.ColdLimit
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.PaceStatus
import org.celeryusher.kernel.admission.RefusalCause
import org.celeryusher.kernel.admission.ResumeHold
import org.celeryusher.kernel.admission.ServerNotice
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.metrics.ReachCounts
import kotlin.time.Duration

/** Receives the final admission decisions about attempts, under the guard's lock. */
internal interface AdmissionListener {
    /** Called when [task] may run. */
    fun onStart(
        task: GuardTask,
        now: Moment,
    )

    /** Called when [task] will not run, for the reason in [decision]. */
    fun onRefusal(
        task: GuardTask,
        decision: AdmissionDecision.Refuse<AttemptId>,
        now: Moment,
    )
}

/**
 * The queued and running attempts of a guard, and the admission controller that decides about them.
 *
 * Logs each decision and passes the final ones to [listener]. Not thread-safe: protected by the guard's lock, except for [awaitQueued].
 */
internal class GuardQueue(
    private val decisions: DecisionLog,
    private val listener: AdmissionListener,
    val cold: ColdLimit,
    private val hold: ResumeHold,
) {
    private val tasks = HashMap<AttemptId, GuardTask>()
    private val queuedSignal = Channel<Unit>(Channel.CONFLATED)
    private var admission: AdmissionController<AttemptId>? = null
    private var isDraining = false
    private var isEvacuated = false
    private var routesOutside: Set<RouteName> = emptySet()

    /** How often an attempt was not started because of what must not be reached. */
    @Volatile
    var reachCounts: ReachCounts = ReachCounts()
        private set

    /** Whether a policy has been applied. Until then no attempt is admitted. */
    val hasPolicy: Boolean get() = admission != null

    /** The number of attempts that are queued or running. */
    val size: Int get() = tasks.size

    /** The running attempts. */
    val running: List<GuardTask> get() = tasks.values.filter { it.startedAt != null }

    /** Applies [policy], and the admission decisions that follow from it. */
    fun applyPolicy(
        policy: AdmissionPolicy,
        now: Moment,
    ) {
        val controller = admission
        cold.changePolicy(policy.cold, now)
        if (controller == null) admission = newController(policy, now) else applyDecisions(controller.changePolicy(policy, now), now)
    }

    private fun newController(
        policy: AdmissionPolicy,
        now: Moment,
    ): AdmissionController<AttemptId> =
        AdmissionController<AttemptId>(policy, now, cold, hold).also {
            it.changeEvacuation(isEvacuated, now)
            if (isDraining) it.drain(now)
        }

    /** Lets [use] read or change what must be known before calls start, and starts the calls that this releases. */
    fun <T> withHold(
        now: Moment,
        use: (ResumeHold) -> T,
    ): T {
        observe(now)
        val wasHeld = hold.heldUntil(now) != null
        val result = use(hold)
        if (wasHeld && hold.heldUntil(now) == null) handleEvent(now) { it.tick(now) }
        return result
    }

    private fun observe(now: Moment) {
        val before = hold.count
        hold.observe(now)
        if (hold.count == before) return
        reachCounts = reachCounts.copy(holds = hold.count)
        decisions.record("admission", "no call starts", "the process was paused", "limit" to ResumeHold.LIMIT, "attempts" to tasks.size)
    }

    /** Records whether the data centre is evacuated: while it is, queued and new attempts are refused. */
    fun changeEvacuation(
        isEvacuated: Boolean,
        now: Moment,
    ) {
        if (this.isEvacuated == isEvacuated) return
        this.isEvacuated = isEvacuated
        handleEvent(now) { it.changeEvacuation(isEvacuated, now) }
    }

    /** Records the [routes] that do not allow the region of the data centre: their queued and new attempts are refused. */
    fun changeRoutesOutside(
        routes: Set<RouteName>,
        now: Moment,
    ) {
        if (routes == routesOutside) return
        routesOutside = routes
        val outside = tasks.filterValues { it.call.route in routes }.keys.toList()
        if (outside.isNotEmpty()) handleEvent(now) { it.leftRegion(outside, now) }
    }

    /** Admits, queues or refuses [task]. */
    fun submit(
        task: GuardTask,
        isExclusive: Boolean,
        now: Moment,
    ) {
        val call = task.call
        if (call.callsPerSecond != null) handleEvent(now) { it.rateSuggested(call.callsPerSecond, now) }
        tasks[call.reference.id] = task
        val request =
            AdmissionRequest(
                call.reference.id,
                call.rankPosition,
                task.deadline,
                isExclusive,
                call.targetDeadline ?: now,
                call.request.body.size
                    .toLong(),
                call.origin,
                isInRegion = call.route !in routesOutside,
            )
        handleEvent(now) { it.arrive(request, now) }
    }

    /** Cancels a queued [task], whose caller has disconnected. */
    fun cancel(
        task: GuardTask,
        now: Moment,
    ): Unit = handleEvent(now) { it.cancel(task.call.reference.id, now) }

    /** Records that a started [task] ended with [result] after [serviceTime], which frees its slot. */
    fun finished(
        task: GuardTask,
        result: CallResult,
        serviceTime: Duration,
        now: Moment,
    ) {
        val id = task.call.reference.id
        tasks -= id
        cold.recordResult(result, task.startedAt ?: now, now)
        handleEvent(now) { it.finished(id, serviceTime, serviceOutcomeOf(result), now) }
    }

    /** Applies what the backend server has stated about itself. */
    fun serverNoticed(
        notice: ServerNotice,
        now: Moment,
    ): Unit = handleEvent(now) { it.serverNoticed(notice, now) }

    /** Refuses queued and new attempts, also under a policy that is applied later, until a backend server has started. */
    fun drain(now: Moment) {
        isDraining = true
        handleEvent(now) { it.drain(now) }
    }

    /** Ends any drain, and begins slow start after a restart of the backend server. */
    fun serverStarted(now: Moment) {
        isDraining = false
        handleEvent(now) { it.serverStarted(now) }
    }

    /** Returns the load to report to proxies, or null without a policy. */
    fun load(now: Moment): GuardLoad? = admission?.load(now)

    /** Returns what the answers of the server have shown about its load, or null without a policy. */
    fun paceStatus(now: Moment): PaceStatus? = admission?.paceStatus(now)

    /** Refuses queued attempts that can no longer meet their deadline, and returns whether another tick is needed later. */
    fun tick(now: Moment): Boolean {
        observe(now)
        val due = admission?.nextTick()
        if (due != null && due <= now) handleEvent(now) { it.tick(now) }
        return admission?.nextTick() != null
    }

    /** Suspends until an attempt is queued. */
    suspend fun awaitQueued(): Unit = queuedSignal.receive()

    private inline fun handleEvent(
        now: Moment,
        event: (AdmissionController<AttemptId>) -> List<AdmissionDecision<AttemptId>>,
    ) {
        observe(now)
        admission?.let { applyDecisions(event(it), now) }
    }

    private fun applyDecisions(
        admissionDecisions: List<AdmissionDecision<AttemptId>>,
        now: Moment,
    ) {
        for (decision in admissionDecisions) {
            val task = tasks[decision.key] ?: continue
            when (decision) {
                is AdmissionDecision.Start -> {
                    if (decision.waited.isPositive()) log(task, "start", decision.reason.name, decision)
                    listener.onStart(task, now)
                }

                is AdmissionDecision.Enqueued -> {
                    queuedSignal.trySend(Unit)
                    log(task, "queued", "no free slot", decision)
                }

                is AdmissionDecision.Refuse -> {
                    log(task, "refused", decision.cause.name, decision)
                    tasks -= decision.key
                    countRefusal(decision.cause)
                    listener.onRefusal(task, decision, now)
                }
            }
        }
    }

    private fun countRefusal(cause: RefusalCause) {
        if (cause == RefusalCause.EVACUATED) reachCounts = reachCounts.copy(evacuated = reachCounts.evacuated + 1)
        if (cause == RefusalCause.OUTSIDE_REGION) reachCounts = reachCounts.copy(outsideRegion = reachCounts.outsideRegion + 1)
    }

    private fun log(
        task: GuardTask,
        decided: String,
        reason: String,
        decision: AdmissionDecision<AttemptId>,
    ) {
        decisions.record(
            "admission",
            decided,
            reason,
            "attempt" to decision.key,
            "route" to task.call.route,
            "inputs" to decision.inputs,
        )
    }
}
