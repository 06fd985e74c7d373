package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment

/** Whether new work must wait until enough peers have given their member list, after a start, a pause or a wrongful eviction. */
internal class PlacementRefresh(
    private val settings: MembershipSettings,
) {
    private var waitsSince: Moment? = null
    private var refreshed = 0

    val isWaiting: Boolean get() = waitsSince != null

    /** How many peers are still to answer. */
    val missing: Int get() = settings.refreshPeers - refreshed

    fun require(
        cause: RefreshCause,
        step: Step,
    ) {
        if (!isWaiting) step += MembershipDecision.RefreshBeforePlacing(cause)
        waitsSince = step.now
        refreshed = 0
    }

    fun notePeer() {
        refreshed++
    }

    /** Allows placing when enough peers have answered, or the wait was long enough. */
    fun tick(step: Step) {
        val since = waitsSince ?: return
        val isRefreshed = refreshed >= settings.refreshPeers
        if (!isRefreshed && step.now - since < settings.refreshWait) return
        waitsSince = null
        step += MembershipDecision.PlacingAllowed(isRefreshed)
    }
}
