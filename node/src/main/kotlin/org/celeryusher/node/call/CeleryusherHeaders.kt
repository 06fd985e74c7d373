package org.celeryusher.node.call

/** The headers that celeryusher itself reads or writes. */
public object CeleryusherHeaders {
    /** Time left until the deadline, in milliseconds; request. */
    public const val DEADLINE: String = "Celeryusher-Deadline-Milliseconds"

    /** The ticket under which non-idempotent work runs at most once; request. */
    public const val TICKET: String = "Celeryusher-Ticket"

    /** The caller's own name for a piece of work; request. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** Marks a request that is itself a retry; request. */
    public const val RETRY: String = "Celeryusher-Retry"

    /** What is known about whether the work ran: ran, not-run or unknown; answer. */
    public const val RUN_STATUS: String = "Celeryusher-Run-Status"

    /** The error kind; answer. */
    public const val ERROR: String = "Celeryusher-Error"

    /** Marks an answer after retries; answer. */
    public const val RETRIED: String = "Celeryusher-Retried"

    /** Marks an answer to a ticket whose body was too large to keep; answer. */
    public const val ANSWER_NOT_KEPT: String = "Celeryusher-Answer-Not-Kept"

    /** Marks a refusal by a backend server that did not run the work; answer of a backend server. */
    public const val SHED: String = "Celeryusher-Shed"
}

/** The header fields that describe one connection and are not passed on. */
internal object ConnectionHeaders {
    private val names =
        setOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "content-length",
            "expect",
        )

    /** Returns whether a field with [name] belongs to the connection and not to the call. */
    fun contains(name: String): Boolean = name.lowercase() in names
}
