package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.math.ln
import kotlin.time.Duration

/**
 * The suspicion of one member, with the timeout after which the member is evicted unless it refutes.
 *
 * The timeout shrinks from the maximum to the minimum as more nodes confirm the suspicion by their own probes (Lifeguard, section IV-B),
 * so that the suspicion of a single node, whose own connection may be bad, lasts longest.
 */
internal class Suspicion(
    val startedAt: Moment,
    firstSuspecter: InstanceName,
) {
    private val suspecters = linkedSetOf(firstSuspecter)
    private var timerStartedAt = startedAt

    val suspectedBy: Set<InstanceName> get() = suspecters

    /** Whether the eviction is held, and this has been recorded. */
    var isEvictionHeld: Boolean = false

    /** Adds [suspecter]; returns false if it is known, or if there are enough suspecters already. */
    fun confirm(
        suspecter: InstanceName,
        settings: MembershipSettings,
    ): Boolean = suspecters.size <= settings.confirmationsForMinimum && suspecters.add(suspecter)

    /** Restarts the timeout at [now]; called after a pause of this process. */
    fun restart(now: Moment) {
        timerStartedAt = now
    }

    /** Ends the timeout at once; called when another node has declared the member dead. */
    fun expire() {
        timerStartedAt = Moment.DISTANT_PAST
    }

    fun hasExpired(
        now: Moment,
        settings: MembershipSettings,
        healthMultiplier: Int,
    ): Boolean = now - timerStartedAt >= timeout(settings) * healthMultiplier

    private fun timeout(settings: MembershipSettings): Duration {
        val confirmations = (suspecters.size - 1).coerceAtMost(settings.confirmationsForMinimum)
        val progress = ln(confirmations + 1.0) / ln(settings.confirmationsForMinimum + 1.0)
        return settings.suspicionMaximum - (settings.suspicionMaximum - settings.suspicionMinimum) * progress
    }
}
