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
    private val rateLimiter = LogRateLimiter(LINES_PER_SECOND)

    /** The kept decisions, the earliest first. */
    public val latest: List<Decision> get() = buffers.values.flatMap(DecisionRingBuffer::decisions).sortedBy(Decision::at)

    /** The number of decisions that were discarded to make room for later ones. */
    public val discarded: Long get() = buffers.values.sumOf(DecisionRingBuffer::discarded)

    /**
     * Logs and keeps the decision [decided] on [subject], with its [reason] and [inputs].
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
        val outcome = rateLimiter.tryAcquire(now)
        if (outcome.droppedBefore > 0) {
            write("log", "lines dropped", "more than $LINES_PER_SECOND in a second", instance, arrayOf("count" to outcome.droppedBefore))
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
        private const val LINES_PER_SECOND = 400
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
