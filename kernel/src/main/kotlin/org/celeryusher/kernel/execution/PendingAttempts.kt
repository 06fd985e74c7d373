package org.celeryusher.kernel.execution

/**
 * The attempts that a proxy has sent and that have no outcome yet, each with the [Call] that it belongs to.
 *
 * Answers are matched by attempt id. One that matches nothing came late, twice or crossed: it must be dropped, and is counted.
 * Not safe for use by several threads.
 */
public class PendingAttempts<Call : Any> {
    private val calls = HashMap<AttemptId, Call>()

    /** How many answers matched no pending attempt. */
    public var droppedAnswers: Long = 0
        private set

    /** The number of attempts without an outcome. */
    public val size: Int get() = calls.size

    /** Records that [attempt] is about to be sent for [call]. */
    public fun sent(
        attempt: AttemptId,
        call: Call,
    ) {
        calls[attempt] = call
    }

    /** Settles [attempt] by an answer and returns its call, or returns null when the answer must be dropped. */
    public fun answered(attempt: AttemptId): Call? {
        val call = calls.remove(attempt)
        if (call == null) droppedAnswers++
        return call
    }

    /** Settles [attempt] without an answer, so that a later one is dropped; returns its call, or null when it is settled already. */
    public fun giveUp(attempt: AttemptId): Call? = calls.remove(attempt)
}
