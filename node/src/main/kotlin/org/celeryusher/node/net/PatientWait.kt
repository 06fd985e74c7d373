package org.celeryusher.node.net

import kotlinx.coroutines.withTimeoutOrNull
import org.celeryusher.kernel.distribution.TransferPatience
import org.celeryusher.node.runtime.ProcessClock

/** Returns the result of [receive], which can be called again after a cancellation, or null when this patience ends. */
internal suspend fun <T : Any> TransferPatience.await(
    clock: ProcessClock,
    receivedBytes: () -> Long,
    receive: suspend () -> T,
): T? {
    while (true) {
        val wait = waitAt(clock.now(), receivedBytes())
        if (!wait.isPositive()) return null
        withTimeoutOrNull(wait) { receive() }?.let { return it }
    }
}
