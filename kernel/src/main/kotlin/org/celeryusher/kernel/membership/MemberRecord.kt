package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** What this node knows about one other member. */
internal class MemberRecord(
    val instance: InstanceName,
    var place: MemberPlace,
    var incarnation: Incarnation,
    var state: MemberState,
    var stateSince: Moment,
) {
    /** The process start that described [place]. */
    var placeStart: Long = incarnation.start

    /** Present while the member is suspected, and while a leaving member does not answer. */
    var suspicion: Suspicion? = null
    var listing: PlatformListing = PlatformListing.NoList

    /** When the member last began not to answer; null while it is live. */
    var unansweredSince: Moment? = null
    var diedWhileLeaving: Boolean = false

    /** Whether only the platform's list has named the member so far. */
    val isOnlyListed: Boolean get() = incarnation.start == NO_START

    /** Whether the platform, asked after the member stopped answering, does not list it any more. */
    val isDeathConfirmedByPlatform: Boolean
        get() {
            val confirmedAt = (listing as? PlatformListing.Unlisted)?.confirmedAt ?: return false
            return unansweredSince?.let { confirmedAt >= it } ?: false
        }

    /** Whether the member counts for [EvictionGuard]. */
    val countsForGuard: Boolean
        get() = visibleState != MemberState.LEAVING && !diedWhileLeaving && !isDeathConfirmedByPlatform

    val isListed: Boolean
        get() =
            when (listing) {
                PlatformListing.NoList, is PlatformListing.Unlisted -> false
                PlatformListing.Live, is PlatformListing.Leaving -> true
            }

    /** The state for the view: the platform's word that an instance leaves counts only for the life that it was said of. */
    val visibleState: MemberState
        get() {
            val leaving = listing as? PlatformListing.Leaving
            val isUp = state == MemberState.LIVE || state == MemberState.SUSPECTED
            return if (isUp && leaving?.start == incarnation.start) MemberState.LEAVING else state
        }

    fun toMember(): Member = place.toMember(instance, incarnation, visibleState).copy(incarnation = incarnation.takeUnless { isOnlyListed })

    /** What this node tells others of the member, with its place for a new life only; null while only the platform's list has named it. */
    fun toNews(): MemberNews? =
        when (state) {
            MemberState.LIVE, MemberState.LEAVING -> newsIn(state).copy(place = place.takeIf { incarnation.refutation == 0 })
            MemberState.SUSPECTED -> newsIn(state).copy(suspectedBy = suspicion?.suspectedBy?.lastOrNull())
            MemberState.DEAD -> newsIn(state)
        }.takeUnless { isOnlyListed }

    /** What a page of the member list says of the member, for readers that may not know it. */
    fun toPageEntry(): MemberNews? = toNews()?.copy(place = place.takeUnless { state == MemberState.DEAD })

    private fun newsIn(state: MemberState) = MemberNews(instance, incarnation.start, incarnation.refutation, state)

    companion object {
        /** The start of a member of which no life is known. */
        const val NO_START = 0L
    }
}

/** What the platform's last list said about a member. */
internal sealed interface PlatformListing {
    /** No list was read since the member is known. */
    data object NoList : PlatformListing

    data object Live : PlatformListing

    /** Listed as leaving, first so when the member's life was [start]. */
    data class Leaving(
        val start: Long,
    ) : PlatformListing

    /** Not listed, most recently at [confirmedAt]. */
    data class Unlisted(
        val confirmedAt: Moment,
    ) : PlatformListing
}
