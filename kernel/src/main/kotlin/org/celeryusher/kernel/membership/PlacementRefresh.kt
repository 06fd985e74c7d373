package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment

/** Holds new work after a start, a pause or a false eviction of this node until enough peers have sent their member list. */
internal class PlacementRefresh(
    private val settings: MembershipSettings,
) {
    private var waitingSince: Moment? = null
    private var refreshedPeers = 0

    val isWaiting: Boolean get() = waitingSince != null

    /** How many more peers must send their member list. */
    val missingPeers: Int get() = settings.refreshPeers - refreshedPeers

    fun require(
        cause: RefreshCause,
        context: EventContext,
    ) {
        if (!isWaiting) context += MembershipDecision.RefreshBeforePlacing(cause)
        waitingSince = context.now
        refreshedPeers = 0
    }

    fun recordRefreshedPeer() {
        refreshedPeers++
    }

    /** Allows new work to be placed once enough peers have answered or [MembershipSettings.refreshWait] has passed. */
    fun tick(context: EventContext) {
        val since = waitingSince ?: return
        val isRefreshed = refreshedPeers >= settings.refreshPeers
        if (!isRefreshed && context.now - since < settings.refreshWait) return
        waitingSince = null
        context += MembershipDecision.PlacingAllowed(isRefreshed)
    }
}
