package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.node.http.HeaderField
import kotlin.time.Duration

/** How one call ended, as a node answers it. */
public sealed interface CallResult {
    /** The backend server ran the work and gave a whole answer. */
    public class Answered(
        public val status: Int,
        public val headers: List<HeaderField>,
        public val body: ByteArray,
    ) : CallResult

    /** The call failed with [kind], which fixes the answer; [detail] is shown to people. */
    public data class Failed(
        public val kind: ErrorKind,
        public val detail: String = "",
        public val retryAfter: Duration? = null,
    ) : CallResult
}
