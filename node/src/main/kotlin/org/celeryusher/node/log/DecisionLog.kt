package org.celeryusher.node.log

import io.github.oshai.kotlinlogging.KotlinLogging
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.node.runtime.ProcessClock
import java.util.concurrent.ConcurrentHashMap

/**
 * Writes one structured log line for each routing or placement decision of one node, at a limited rate, and keeps the latest decisions for
 * the node's status.
 *
 * The log keeps the latest [capacity] decisions of each subject, so that frequent decisions do not displace rare ones. At most
 * [MAXIMUM_SUBJECTS] subjects have a buffer of their own; all further subjects share one.
 */
public class DecisionLog(
    private val instance: InstanceName,
    private val clock: ProcessClock,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val buffers = ConcurrentHashMap<String, DecisionRingBuffer>()
    private val callLines = LogRateLimiter(CALL_LINES_PER_SECOND)
    private val stateLines = LogRateLimiter(STATE_LINES_PER_SECOND)

    /** The kept decisions, the earliest first. */
    public val latest: List<Decision> get() = buffers.values.flatMap(DecisionRingBuffer::decisions).sortedBy(Decision::at)

    /** The number of decisions that were discarded to make room for later ones. */
    public val discarded: Long get() = buffers.values.sumOf(DecisionRingBuffer::discarded)

    /**
     * Logs and keeps the decision [decided] on [subject], with its [reason] and [inputs].
     *
     * Lines about calls and all other lines have separate limits, so that a burst of calls does not hide what the node knows and why.
     *
     * The inputs are formatted later, when the line is written or the status is read, so they must not change after this call.
     */
    public fun record(
        subject: String,
        decided: String,
        reason: String,
        vararg inputs: Pair<String, Any?>,
    ) {
        val now = clock.now()
        bufferOf(subject).add(Decision(now, subject, decided, reason, inputs))
        val isAboutCall = subject in CALL_SUBJECTS
        val outcome = (if (isAboutCall) callLines else stateLines).tryAcquire(now)
        if (outcome.droppedBefore > 0) {
            val limit = if (isAboutCall) "$CALL_LINES_PER_SECOND about calls" else "$STATE_LINES_PER_SECOND about the state"
            write("log", "lines dropped", "more than $limit in a second", instance, arrayOf("count" to outcome.droppedBefore))
        }
        if (outcome.isAllowed) write(subject, decided, reason, instance, inputs)
    }

    private fun bufferOf(subject: String): DecisionRingBuffer {
        buffers[subject]?.let { return it }
        val name = if (buffers.size < MAXIMUM_SUBJECTS) subject else OTHER_SUBJECTS
        return buffers.computeIfAbsent(name) { DecisionRingBuffer(capacity) }
    }

    public companion object {
        /** The number of subjects that have a buffer of their own. */
        public const val MAXIMUM_SUBJECTS: Int = 16
        private const val DEFAULT_CAPACITY = 32

        /** Allows three lines per call at the present peak load of an instance, and as many again for its guard. */
        private const val CALL_LINES_PER_SECOND = 400

        /** Allows a line for each server of a service that is replaced at once. */
        private const val STATE_LINES_PER_SECOND = 100

        /** The subjects with lines for each call, whose number grows with the load. */
        private val CALL_SUBJECTS = setOf("call", "routing", "admission", "guard", "entry", "hedge", "link")
        private const val OTHER_SUBJECTS = "other"
        private val logger = KotlinLogging.logger("org.celeryusher.decision")

        /** Logs the decision [decided] on [subject], with its [reason] and [inputs], but does not keep it. */
        public fun record(
            subject: String,
            decided: String,
            reason: String,
            vararg inputs: Pair<String, Any?>,
        ): Unit = write(subject, decided, reason, null, inputs)

        private fun write(
            subject: String,
            decided: String,
            reason: String,
            instance: InstanceName?,
            inputs: Array<out Pair<String, Any?>>,
        ) {
            logger.atInfo {
                message = subject
                payload =
                    buildMap {
                        if (instance != null) put("node", instance.value)
                        put("decided", decided)
                        put("reason", reason)
                        inputs.forEach { (name, value) -> put(name, value?.toString()) }
                    }
            }
        }
    }
}
