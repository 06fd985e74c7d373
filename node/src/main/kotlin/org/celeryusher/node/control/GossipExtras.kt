package org.celeryusher.node.control

import kotlinx.serialization.json.JsonElement

/** News of another part of the node that travels along with the messages between nodes, such as requests refused fleet-wide. */
public interface GossipExtras {
    /** Returns what to send with the next message; keep it to a few short entries. */
    public fun outgoing(): List<JsonElement>

    /** Takes in what another node sent; nothing in it is validated. */
    public fun incoming(news: List<JsonElement>)

    /** Sends nothing and ignores what comes. */
    public object None : GossipExtras {
        override fun outgoing(): List<JsonElement> = emptyList()

        override fun incoming(news: List<JsonElement>): Unit = Unit
    }
}
