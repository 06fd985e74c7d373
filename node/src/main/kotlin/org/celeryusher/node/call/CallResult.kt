package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.node.http.HeaderField
import kotlin.time.Duration

/** The result of a call or of one attempt. */
public sealed interface CallResult {
    /**
     * Whether the work completed, which shows that it does not crash the backend server.
     *
     * An error of the server does not: work may fail before it comes to the point at which it crashes a server.
     */
    public val showsCompletion: Boolean
        get() =
            when (this) {
                is Answered -> status < FIRST_SERVER_ERROR
                is Failed -> false
            }

    /** Whether the call was refused because of the load of a service that its run would call, which is no sign of load at its own service. */
    public val isRefusedForCalls: Boolean get() = this is Failed && refusedForCalls

    /** The backend server ran the work and sent a complete response. */
    public class Answered(
        public val status: Int,
        public val headers: List<HeaderField>,
        public val body: ByteArray,
    ) : CallResult

    /** The call failed with [kind], which determines the error response; [detail] is for human readers. */
    public data class Failed(
        public val kind: ErrorKind,
        public val detail: String = "",
        public val retryAfter: Duration? = null,
        /** Whether a guard refused the call only because calls of its run would be refused, not because of the load of its server. */
        public val refusedForCalls: Boolean = false,
    ) : CallResult

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
