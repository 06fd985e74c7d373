package org.celeryusher.kernel.execution

/** The state of one attempt at its guard, the admission control in front of a backend server. */
public sealed interface AttemptState {
    /** The attempt is accepted and waits for a slot. */
    public data object Queued : AttemptState

    /** The attempt was sent to the backend server and has not ended. */
    public data object Running : AttemptState

    /** The attempt ended with [outcome], or is fenced and never starts. */
    public data class Settled(
        public val outcome: Outcome,
    ) : AttemptState
}

/** The decision of a guard about an arriving copy of an attempt. */
public sealed interface AttemptArrival {
    /** This is the first copy, which the guard queues. */
    public data object Accepted : AttemptArrival

    /** This copy never runs. The guard answers [outcome], which covers all copies of the attempt. */
    public data class Refused(
        public val outcome: Outcome,
    ) : AttemptArrival

    /** This copy is a duplicate and never runs. The copy that was accepted earlier is in [state]. */
    public data class Duplicate(
        public val state: AttemptState,
    ) : AttemptArrival
}

/** The decision of a guard about a queued attempt that has been given a slot. */
public sealed interface AttemptStart {
    /** The guard sends the attempt to the backend server. */
    public data object Run : AttemptStart

    /** The attempt does not start and has ended with [outcome]. The slot is free for another attempt. */
    public data class Refused(
        public val outcome: Outcome,
    ) : AttemptStart
}
