package org.celeryusher.node.call

/** What a guard decided about a call when it came. */
internal sealed interface Admitted {
    /** It waits or runs as [task]. */
    class Task(
        val task: GuardTask,
    ) : Admitted

    /** Another call with its ticket runs: it gets the result of [first]. */
    class Follow(
        val first: GuardTask,
    ) : Admitted

    /** It has ended with [result]; nothing runs. */
    class Ended(
        val result: CallResult,
    ) : Admitted
}
