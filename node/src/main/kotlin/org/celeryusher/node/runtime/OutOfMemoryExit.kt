package org.celeryusher.node.runtime

import io.github.oshai.kotlinlogging.KotlinLogging

/** Ends the process after an [OutOfMemoryError], so that the platform starts it again rather than leave it running without responding. */
internal object OutOfMemoryExit {
    /** The exit code that the JVM uses with `-XX:+ExitOnOutOfMemoryError`. */
    private const val EXIT_CODE = 3
    private val logger = KotlinLogging.logger {}

    /** Logs [error] and ends the process without running shutdown hooks, which may need memory. */
    fun exit(error: OutOfMemoryError): Nothing {
        try {
            logger.error { "OutOfMemoryError: ${error.message}; the process exits with code $EXIT_CODE" }
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE)
        }
        throw error
    }
}
