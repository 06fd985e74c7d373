package org.celeryusher.kernel.execution

/**
 * Tracks the attempts that a proxy has sent and that have no outcome yet, each with its [Call].
 *
 * Answers are matched by attempt identifier. An answer that matches no pending attempt is late, duplicated or misdirected. It is counted,
 * and the user of this class must drop it. This class is not thread-safe.
 */
public class PendingAttempts<Call : Any> {
    private val calls = HashMap<AttemptId, Call>()

    /** The number of answers that matched no pending attempt. */
    public var unmatchedAnswers: Long = 0
        private set

    /** The number of pending attempts. */
    public val size: Int get() = calls.size

    /** Adds [attempt], which is about to be sent for [call]. */
    public fun add(
        attempt: AttemptId,
        call: Call,
    ) {
        calls[attempt] = call
    }

    /** Removes [attempt] because its answer arrived, and returns its call, or null if the answer must be dropped. */
    public fun complete(attempt: AttemptId): Call? {
        val call = calls.remove(attempt)
        if (call == null) unmatchedAnswers++
        return call
    }

    /** Removes [attempt] without an answer, so that a late answer is dropped. Returns its call, or null if it is not pending. */
    public fun abandon(attempt: AttemptId): Call? = calls.remove(attempt)
}
