package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** The state of one other member in the table of this node. */
internal class MemberRecord(
    val instance: InstanceName,
    var metadata: MemberMetadata,
    var incarnation: Incarnation,
    var state: MemberState,
    var stateSince: Moment,
) {
    /** The process start that the member had when it reported [metadata]. */
    var metadataStart: Long = incarnation.start

    /** The current suspicion of the member, which is suspected or is leaving and does not answer; null otherwise. */
    var suspicion: Suspicion? = null
    var listing: PlatformListing = PlatformListing.NoList

    /** When the member stopped answering; null while it is live. */
    var unansweredSince: Moment? = null
    var diedWhileLeaving: Boolean = false

    /** Whether the member is known only from the platform's list so far. */
    val isOnlyListed: Boolean get() = incarnation.start == NO_START

    /** Whether a list that the platform sent after the member stopped answering no longer contains it. */
    val isDeathConfirmedByPlatform: Boolean
        get() {
            val confirmedAt = (listing as? PlatformListing.Unlisted)?.confirmedAt ?: return false
            return unansweredSince?.let { confirmedAt >= it } ?: false
        }

    /** Whether the member counts towards the limits of [EvictionLimiter]. */
    val countsForEvictionLimit: Boolean
        get() = visibleState != MemberState.LEAVING && !diedWhileLeaving && !isDeathConfirmedByPlatform

    val isListed: Boolean
        get() =
            when (listing) {
                PlatformListing.NoList, is PlatformListing.Unlisted -> false
                PlatformListing.Live, is PlatformListing.Leaving -> true
            }

    /** The state for the view. A listing as leaving applies only to the process start for which it was first made. */
    val visibleState: MemberState
        get() {
            val leaving = listing as? PlatformListing.Leaving
            val isUp = state == MemberState.LIVE || state == MemberState.SUSPECTED
            return if (isUp && leaving?.start == incarnation.start) MemberState.LEAVING else state
        }

    fun toMember(): Member =
        metadata.toMember(instance, incarnation, visibleState).copy(incarnation = incarnation.takeUnless { isOnlyListed })

    /**
     * Returns the update about the member, or null while the member is known only from the platform's list.
     *
     * The update contains the metadata only if the member has not refuted since its process start.
     */
    fun toUpdate(): MemberUpdate? =
        when (state) {
            MemberState.LIVE, MemberState.LEAVING -> updateIn(state).copy(metadata = metadata.takeIf { incarnation.refutation == 0 })
            MemberState.SUSPECTED -> updateIn(state).copy(suspectedBy = suspicion?.suspectedBy?.lastOrNull())
            MemberState.DEAD -> updateIn(state)
        }.takeUnless { isOnlyListed }

    /** Returns the entry for a page of the member list, with metadata because the receiver may not know the member. */
    fun toPageEntry(): MemberUpdate? = toUpdate()?.copy(metadata = metadata.takeUnless { state == MemberState.DEAD })

    private fun updateIn(state: MemberState) = MemberUpdate(instance, incarnation.start, incarnation.refutation, state)

    companion object {
        /** The start in the incarnation of a member whose process start is not known. */
        const val NO_START = 0L
    }
}

/** The status of a member in the platform's last list. */
internal sealed interface PlatformListing {
    /** No list has been read since the member became known. */
    data object NoList : PlatformListing

    data object Live : PlatformListing

    /** Listed as leaving, for the first time when the member's process start was [start]. */
    data class Leaving(
        val start: Long,
    ) : PlatformListing

    /** Not listed; [confirmedAt] is the time of the last list. */
    data class Unlisted(
        val confirmedAt: Moment,
    ) : PlatformListing
}
