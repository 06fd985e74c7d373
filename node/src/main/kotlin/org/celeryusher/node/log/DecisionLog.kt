package org.celeryusher.node.log

import io.github.oshai.kotlinlogging.KotlinLogging

/** Writes one structured log line for each routing or placement decision: its inputs, what was decided, and the reason. */
public object DecisionLog {
    private val logger = KotlinLogging.logger("org.celeryusher.decision")

    /** Logs the decision [decided] on [subject], for [reason], with its [inputs]. */
    public fun decision(
        subject: String,
        decided: String,
        reason: String,
        vararg inputs: Pair<String, Any?>,
    ) {
        logger.atInfo {
            message = subject
            payload =
                buildMap {
                    put("decided", decided)
                    put("reason", reason)
                    inputs.forEach { (name, value) -> put(name, value?.toString()) }
                }
        }
    }
}
