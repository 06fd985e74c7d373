package org.celeryusher.node.control

/** The state of the backend server that this node fronts, as its health checks show it. */
public enum class BackendServerState {
    /** It answers health checks but does not accept calls yet. */
    STARTING,
    READY,

    /** It completes its running calls and accepts no new ones. */
    DRAINING,

    /** It does not answer health checks. */
    DEAD,
}
