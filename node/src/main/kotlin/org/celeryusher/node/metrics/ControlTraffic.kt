package org.celeryusher.node.metrics

/** The kinds of control messages between nodes that are counted apart. */
public enum class ControlTraffic {
    /** Gossip about members and about the versions that they hold. */
    GOSSIP,

    /** Configuration documents and deltas. */
    CONFIGURATION,
}
