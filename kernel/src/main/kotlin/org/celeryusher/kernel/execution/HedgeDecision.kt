package org.celeryusher.kernel.execution

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** A call whose first attempt may be hedged: a second copy of it is sent while the first one still runs. */
public data class HedgeCall(
    public val route: RouteName,
    public val idempotent: Boolean,
    /** The setting `hedgeShare` of the route. */
    public val share: Double,
    public val maximumAttempts: Int,
    public val deadline: DeadlineBudget,
    /** The number of endpoints besides the one that has the first attempt. */
    public val otherEndpoints: Int,
    /** Whether an upstream node sent the request as a retry. */
    public val requestIsRetry: Boolean = false,
    /** Whether the request is suspected of crashing backend servers. */
    public val isSuspected: Boolean = false,
    /** When the call arrived at this node. */
    public val arrivedAt: Moment = Moment.DISTANT_PAST,
)

/** The endpoint that was chosen for a copy, and the load of the service as far as this node knows it. */
public data class HedgeCandidate(
    public val load: GuardLoad?,
    public val loadAt: Moment,
    /** The number of calls, apart from the copy, that this node sent there since [load] was reported. */
    public val sentSinceLoad: Int,
    public val rankPosition: Int,
    /** The share of the route's guards with a recent report that have a free slot and no queue. */
    public val freeGuardShare: Double,
    /** Whether guards have recently refused calls of this node because of load. */
    public val hasRefusals: Boolean,
)

/** The decision about a copy of a late first attempt. */
public sealed interface HedgeDecision {
    /** The copy is sent. [usualLatency] is the latency that the first attempt has exceeded. */
    public data class Send(
        public val usualLatency: Duration,
    ) : HedgeDecision

    /** No copy is sent. */
    public data class Refuse(
        public val reason: HedgeRefusal,
    ) : HedgeDecision
}

/** Why a late first attempt is not hedged. */
public enum class HedgeRefusal {
    /** The route in force no longer allows to repeat or to hedge the call. */
    NOT_ALLOWED,

    /** The route has no other endpoint. */
    NO_OTHER_ENDPOINT,

    /** Less than the median latency of the route remains until the deadline. */
    NO_TIME,

    /** Guards refuse calls, or the chosen guard or most guards of the service have no free slot or have a queue. */
    OVERLOAD,

    /** The share of hedged first attempts has been reached. */
    SHARE_SPENT,
}
