package org.celeryusher.node.call

import kotlinx.coroutines.CompletableDeferred
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.execution.Ticket
import org.celeryusher.kernel.time.Moment

/** One attempt while a guard has it. Its fields change under the guard's lock. */
internal class GuardTask(
    val call: GuardCall,
    val fingerprint: RequestFingerprint,
    val deadline: Moment,
    val ticket: Ticket?,
) {
    /** Completed with null when the attempt may run, or with the result when it ended before it ran. */
    val turn: CompletableDeferred<CallResult?> = CompletableDeferred()

    /** Completed with the result of a ticket's work, for the others that wait for it. */
    val ended: CompletableDeferred<CallResult> = CompletableDeferred()

    var startedAt: Moment? = null

    /** Whether a crash of the backend server has already been counted for this run. */
    var crashCounted: Boolean = false
}
