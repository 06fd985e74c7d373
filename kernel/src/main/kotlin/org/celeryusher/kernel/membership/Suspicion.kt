package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.math.ln
import kotlin.time.Duration

/**
 * The time that a suspected member has to refute.
 *
 * It shrinks from the maximum to the minimum as more nodes come to the same suspicion by their own probes (Lifeguard, section IV-B), so
 * that the suspicion of one node with a bad connection lasts longest.
 */
internal class Suspicion(
    val startedAt: Moment,
    firstSuspecter: InstanceName,
) {
    private val suspecters = linkedSetOf(firstSuspecter)
    private var countedFrom = startedAt

    val suspectedBy: Set<InstanceName> get() = suspecters

    /** Whether it was already noted that the eviction is held back. */
    var isHeldNoted: Boolean = false

    /** Counts [suspecter] in; returns false when it is known, or when there are enough already. */
    fun confirm(
        suspecter: InstanceName,
        settings: MembershipSettings,
    ): Boolean = suspecters.size <= settings.confirmationsForMinimum && suspecters.add(suspecter)

    /** Counts the time to refute from [now], because this process did not run in the meantime. */
    fun restart(now: Moment) {
        countedFrom = now
    }

    /** Ends the time to refute at once, because another node has confirmed the death. */
    fun expire() {
        countedFrom = Moment.DISTANT_PAST
    }

    fun hasExpired(
        now: Moment,
        settings: MembershipSettings,
        healthMultiplier: Int,
    ): Boolean = now - countedFrom >= timeToRefute(settings) * healthMultiplier

    private fun timeToRefute(settings: MembershipSettings): Duration {
        val confirmations = (suspecters.size - 1).coerceAtMost(settings.confirmationsForMinimum)
        val progress = ln(confirmations + 1.0) / ln(settings.confirmationsForMinimum + 1.0)
        return settings.suspicionMaximum - (settings.suspicionMaximum - settings.suspicionMinimum) * progress
    }
}
