package org.celeryusher.node.call

/** The names of the headers that celeryusher reads or writes. */
public object CeleryusherHeaders {
    /** Request header: the time until the deadline, in milliseconds. */
    public const val DEADLINE: String = "Celeryusher-Deadline-Milliseconds"

    /** Request header: the ticket under which non-idempotent work runs at most once. */
    public const val TICKET: String = "Celeryusher-Ticket"

    /** Request header: the caller's own key for a piece of work. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"

    /** Request header: marks a request that is already a retry. */
    public const val RETRY: String = "Celeryusher-Retry"

    /** Response header: whether the work ran, which is ran, not-run or unknown. */
    public const val RUN_STATUS: String = "Celeryusher-Run-Status"

    /** Response header: the error kind. */
    public const val ERROR: String = "Celeryusher-Error"

    /** Response header: marks a response after retries. */
    public const val RETRIED: String = "Celeryusher-Retried"

    /** Response header: marks the response to a repeated ticket whose body was too large to store. */
    public const val ANSWER_NOT_KEPT: String = "Celeryusher-Answer-Not-Kept"

    /** Response header of a backend server: marks a refusal without having run the work (load shedding). */
    public const val SHED: String = "Celeryusher-Shed"
}

/** The hop-by-hop header fields, which concern one connection and are not forwarded. */
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

    /** Returns whether the field [name] is hop-by-hop. */
    fun contains(name: String): Boolean = name.lowercase() in names
}
