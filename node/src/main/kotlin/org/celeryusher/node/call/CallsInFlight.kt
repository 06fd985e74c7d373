package org.celeryusher.node.call

/** The numbers of calls and answers in flight at a node. */
internal data class CallsInFlight(
    /** Requests of callers that have begun to arrive and whose responses are not completely sent. */
    val ofCallers: Int,
    /** Attempts that are queued or running at the guard. */
    val atServer: Int,
    /** Calls of other nodes, and frames to them that are not sent. */
    val ofNodes: Int,
) {
    val total: Int get() = ofCallers + atServer + ofNodes

    override fun toString(): String = "$ofCallers of callers, $atServer at the server, $ofNodes of other nodes"
}
