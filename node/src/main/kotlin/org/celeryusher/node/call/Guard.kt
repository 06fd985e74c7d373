package org.celeryusher.node.call

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration

/** Stands before the backend server of this instance: admits calls, runs each at most once, refuses the rest. */
internal class Guard(
    private val client: BackendServerClient,
    private val clock: ProcessClock,
    private val incarnationStart: Long,
) {
    private val slots = Semaphore(SLOTS)

    /** Runs [call] or refuses it; every way out says what is known about the work. */
    suspend fun run(call: GuardCall): CallResult {
        if (call.incarnationStart != null && call.incarnationStart != incarnationStart) {
            return CallResult.Failed(ErrorKind.CONNECTION_REFUSED, "the instance was restarted")
        }
        var started = false
        val result =
            withTimeoutOrNull(timeLeft(call.deadline, clock.now())) {
                slots.withPermit {
                    started = true
                    client.run(call.request, timeLeft(call.deadline, clock.now()).inWholeMilliseconds)
                }
            }
        return result ?: CallResult.Failed(if (started) ErrorKind.DEADLINE_WHILE_RUNNING else ErrorKind.DEADLINE_BEFORE_START)
    }

    private fun timeLeft(
        deadline: Moment,
        now: Moment,
    ): Duration = (deadline - now).coerceAtLeast(Duration.ZERO)

    private companion object {
        const val SLOTS = 6
    }
}
