package org.celeryusher.node.call

import kotlinx.coroutines.CompletableDeferred
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.time.Moment

/** An attempt that is queued or running at a guard. Its fields change under the guard's lock. */
internal class GuardTask(
    val call: GuardCall,
    val fingerprint: RequestFingerprint,
    val deadline: Moment,
    val ticket: Ticket?,
) {
    /** Completed with null when the attempt is admitted, or with its result when it ends without running. */
    val admission: CompletableDeferred<CallResult?> = CompletableDeferred()

    /** Completed with the result of the work under a ticket, for other calls with the same ticket. */
    val completion: CompletableDeferred<CallResult> = CompletableDeferred()

    var startedAt: Moment? = null

    /** Whether a crash of the backend server has already been counted for this attempt. */
    var isCrashCounted: Boolean = false
}
