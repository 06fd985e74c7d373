package org.celeryusher.node.control

/** What the node knows about the backend server beside it. */
public enum class BackendServerState {
    /** Answers, and does not take calls yet. */
    STARTING,
    READY,

    /** Finishes what it has and takes no new calls. */
    DRAINING,

    /** Does not answer. */
    DEAD,
}
