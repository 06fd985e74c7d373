package org.celeryusher.kernel.admission

import org.celeryusher.kernel.error.ErrorKind
import kotlin.time.Duration

/**
 * A decision of the [AdmissionController] about one call, with its inputs for the decision log.
 *
 * [Start] and [Refuse] are final: each call that arrives gets exactly one of them. [Enqueued] may precede either.
 */
public sealed interface AdmissionDecision<out Key : Any> {
    public val key: Key
    public val inputs: AdmissionInputs

    /** The call must be sent to the backend server now; [waited] is the time that it spent in the queue. */
    public data class Start<out Key : Any>(
        override val key: Key,
        override val inputs: AdmissionInputs,
        public val waited: Duration,
        public val reason: StartReason,
    ) : AdmissionDecision<Key>

    /** The call is queued until a slot is free, which is expected to take [estimatedWait]. */
    public data class Enqueued<out Key : Any>(
        override val key: Key,
        override val inputs: AdmissionInputs,
        public val estimatedWait: Duration,
    ) : AdmissionDecision<Key>

    /** The call will not start; [retryAfter] is the time after which the same server may have capacity for its rank. */
    public data class Refuse<out Key : Any>(
        override val key: Key,
        override val inputs: AdmissionInputs,
        public val cause: RefusalCause,
        public val retryAfter: Duration,
    ) : AdmissionDecision<Key> {
        /** The error that is returned to the caller. */
        public val error: ErrorKind get() = cause.error
    }
}

/** The state of the [AdmissionController] on which a decision was based, just before the decision took effect. */
public data class AdmissionInputs(
    public val rankPosition: Int,
    public val running: Int,
    public val limit: Int,
    public val queuedInRank: Int,
    public val queued: Int,
)

/** Why a call starts ahead of the queued calls. */
public enum class StartReason {
    /** A slot was free and no call was queued. */
    FREE_SLOT,

    /** The rank of the call has received less than its guaranteed share, or no spare capacity is left and this rank is closest to that. */
    GUARANTEED_SHARE,

    /** No rank with queued calls has received less than its guaranteed share, and that of the call is the most urgent of these ranks. */
    URGENCY,

    /** The call is made by a running request, whose slot time is lost if it is refused. */
    CALL_OF_RUN,

    /** The call is exclusive, and no other call is running. */
    ALONE,
}

/** Why a call is refused, and the [error] that is returned to the caller. */
public enum class RefusalCause(
    public val error: ErrorKind,
) {
    /** The queue is full, and no queued call can be displaced for a call of this rank. */
    QUEUE_FULL(ErrorKind.OVERLOADED),

    /** The queue is full, and the call was evicted to make room for a call that is on time or whose rank has a shorter queue. */
    DISPLACED(ErrorKind.OVERLOADED),

    /** The estimated wait at arrival ends after the latest time at which the call may still start. */
    WAIT_OUTLASTS_DEADLINE(ErrorKind.DEADLINE_BEFORE_START),

    /** The deadline has passed, or the call could not finish in time even if it started now. */
    DEADLINE_UNREACHABLE(ErrorKind.DEADLINE_BEFORE_START),

    /** The backend server is draining. */
    DRAINING(ErrorKind.DRAINING),

    /**
     * The data centre of the backend server is evacuated.
     *
     * Guards report it to other nodes as [ErrorKind.DRAINING], which nodes of earlier versions know too and answer by trying another guard.
     */
    EVACUATED(ErrorKind.DRAINING),

    /** The route of the call does not allow the region of the backend server. Reported like [EVACUATED]. */
    OUTSIDE_REGION(ErrorKind.DRAINING),

    /** The caller cancelled the call before it started. */
    CANCELLED(ErrorKind.CANCELLED_BEFORE_START),
}
