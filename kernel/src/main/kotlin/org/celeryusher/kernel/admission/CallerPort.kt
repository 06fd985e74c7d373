package org.celeryusher.kernel.admission

/** An address of a node that untrusted callers can connect to. */
public enum class CallerPort {
    /** HTTP from callers. */
    CALLERS,

    /** HTTP from operators and readiness checks, whose memory is a portion of its own. */
    ADMIN,

    /** Frames from other nodes. */
    FRAMES,
}

/** What a connection does at present. */
public enum class CallerPhase {
    /** Nothing of a next request has arrived. */
    IDLE,

    /** A request or a frame has begun to arrive and is not complete. */
    RECEIVING,

    /** A complete request is queued or running. */
    ADMITTED,

    /** A response is being sent. */
    SENDING,
}
