package org.celeryusher.node.log

import io.github.oshai.kotlinlogging.KotlinLogging
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.node.runtime.ProcessClock
import java.util.concurrent.ConcurrentHashMap

/**
 * Writes one structured log line for each routing or placement decision of one node, within a bound a second, and keeps the latest for
 * its status.
 *
 * The latest [capacity] decisions are kept for each subject, so that frequent ones do not displace rare ones. At most
 * [MAXIMUM_SUBJECTS] subjects are told apart; the decisions on further ones share one record.
 */
public class DecisionLog(
    private val instance: InstanceName,
    private val clock: ProcessClock,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val records = ConcurrentHashMap<String, DecisionRecord>()
    private val lines = LineBudget(LINES_PER_SECOND)

    /** The decisions that are kept, the earliest first. */
    public val latest: List<Decision> get() = records.values.flatMap(DecisionRecord::decisions).sortedBy(Decision::at)

    /** How many decisions were made and are not kept any more. */
    public val forgotten: Long get() = records.values.sumOf(DecisionRecord::forgotten)

    /**
     * Logs and keeps the decision [decided] on [subject], for [reason], with its [inputs].
     *
     * The inputs are turned into text when the line is written or the status is read, and must not change after this call.
     */
    public fun decision(
        subject: String,
        decided: String,
        reason: String,
        vararg inputs: Pair<String, Any?>,
    ) {
        val now = clock.now()
        recordOf(subject).add(Decision(now, subject, decided, reason, inputs))
        val verdict = lines.take(now)
        if (verdict.droppedBefore > 0) {
            write("log", "lines dropped", "more than $LINES_PER_SECOND in a second", instance, arrayOf("count" to verdict.droppedBefore))
        }
        if (verdict.mayWrite) write(subject, decided, reason, instance, inputs)
    }

    private fun recordOf(subject: String): DecisionRecord {
        records[subject]?.let { return it }
        val name = if (records.size < MAXIMUM_SUBJECTS) subject else OTHER_SUBJECTS
        return records.computeIfAbsent(name) { DecisionRecord(capacity) }
    }

    public companion object {
        /** How many subjects have a record of their own. */
        public const val MAXIMUM_SUBJECTS: Int = 16
        private const val DEFAULT_CAPACITY = 32

        /** Three lines for each of the calls that an instance of today takes at its heaviest, and as many again for its guard. */
        private const val LINES_PER_SECOND = 400
        private const val OTHER_SUBJECTS = "other"
        private val logger = KotlinLogging.logger("org.celeryusher.decision")

        /** Logs the decision [decided] on [subject], for [reason], with its [inputs], and keeps nothing. */
        public fun decision(
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
