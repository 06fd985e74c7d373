package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** Where a node gets the platform's data from next. */
public sealed interface SourceChoice {
    /** Read the platform. */
    public data object Platform : SourceChoice

    /** Ask the node of [member] for what it has read. It holds the query for up to [wait] while it has nothing new. */
    public data class Peer(
        public val member: Member,
        public val wait: Duration,
        /** How long the query may take; without an answer until then, it has failed. */
        public val timeout: Duration,
        /** Whether the peer also holds the query while its data is old; otherwise it answers early then, so that another one can be asked. */
        public val acceptsOldData: Boolean = false,
        /** Whether the peer is known to decline and is asked all the same, because no other candidate can be. */
        public val acceptsDeclining: Boolean = false,
    ) : SourceChoice

    /** Wait until [moment], because neither the platform nor a peer is expected to answer before. */
    public data class WaitUntil(
        public val moment: Moment,
    ) : SourceChoice
}
