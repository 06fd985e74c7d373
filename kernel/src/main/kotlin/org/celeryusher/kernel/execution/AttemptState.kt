package org.celeryusher.kernel.execution

/** What a guard remembers of one attempt. */
public sealed interface AttemptState {
    /** Accepted, and waits for a slot. */
    public data object Queued : AttemptState

    /** Was passed on to the backend server. */
    public data object Running : AttemptState

    /** Ended, or is fenced so that it never starts. */
    public data class Settled(
        public val outcome: Outcome,
    ) : AttemptState
}

/** What a guard does with a copy of an attempt that arrives. */
public sealed interface AttemptArrival {
    /** The first copy: queue it. */
    public data object Accepted : AttemptArrival

    /** This copy never runs; answer [outcome], which speaks of the attempt with all its copies. */
    public data class Refused(
        public val outcome: Outcome,
    ) : AttemptArrival

    /** Another copy was accepted before and is in [state]; this one never runs. */
    public data class Duplicate(
        public val state: AttemptState,
    ) : AttemptArrival
}

/** What a guard does with an attempt whose turn for a slot has come. */
public sealed interface AttemptStart {
    /** Pass it on to the backend server. */
    public data object Run : AttemptStart

    /** Give the slot to another attempt; this one has ended with [outcome]. */
    public data class Refused(
        public val outcome: Outcome,
    ) : AttemptStart
}
