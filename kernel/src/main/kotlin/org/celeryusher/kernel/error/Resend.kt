package org.celeryusher.kernel.error

/** Whether a caller may send the same work again after an error. */
public enum class Resend {
    /** Immediately, through any node. */
    NOW,

    /** After the time in the answer's `Retry-After` header. */
    LATER,

    /** Only if the work is idempotent, or with the same ticket. */
    IF_IDEMPOTENT,

    /** Not without a change of the request. */
    NEVER,
}
