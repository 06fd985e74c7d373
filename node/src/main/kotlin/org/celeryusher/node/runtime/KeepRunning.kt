package org.celeryusher.node.runtime

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.celeryusher.kernel.error.isRecoverable
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** The pause before a failed loop starts again, which limits the log lines and the processor time of a loop that fails at once. */
private val RESTART_PAUSE = 100.milliseconds

/**
 * Runs [loop], the background task [name] of a node, until it returns or is cancelled.
 *
 * After an unexpected error, [loop] starts again, so that a single malformed message does not leave a node that serves calls with a view
 * that is never updated.
 */
internal suspend fun keepRunning(
    name: String,
    loop: suspend () -> Unit,
) {
    while (true) {
        try {
            return loop()
        } catch (error: CancellationException) {
            throw error
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "the task \"$name\" failed and starts again" }
        }
        delay(RESTART_PAUSE)
    }
}
