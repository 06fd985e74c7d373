package org.celeryusher.kernel.error

/** Whether a caller may send the same work again after an error. */
public enum class Resend {
    /** At once, through any node. */
    NOW,

    /** After the time that the answer's `Retry-After` header gives. */
    LATER,

    /** Only when the work is idempotent, or with the same ticket. */
    IF_IDEMPOTENT,

    /** Not without changing the request. */
    NEVER,
}
