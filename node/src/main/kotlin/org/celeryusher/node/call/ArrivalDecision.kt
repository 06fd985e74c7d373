package org.celeryusher.node.call

/** What a guard decides about a call on arrival. */
internal sealed interface ArrivalDecision {
    /** Queue and run the call as [task]. */
    class Run(
        val task: GuardTask,
    ) : ArrivalDecision

    /** Wait for the result of [first], which is queued or running with the same ticket. */
    class AwaitFirst(
        val first: GuardTask,
    ) : ArrivalDecision

    /** Respond with [result] without running the work. */
    class Respond(
        val result: CallResult,
    ) : ArrivalDecision
}
