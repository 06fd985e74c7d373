package org.celeryusher.node.control

import kotlinx.serialization.json.JsonElement

/** Entries that another part of the node adds to gossip messages, such as requests that are quarantined in the whole fleet. */
public interface GossipExtension {
    /** Returns the entries for the next message. They must be few and short. */
    public fun outgoing(): List<JsonElement>

    /** Handles the entries that another node sent; they are not validated yet. */
    public fun incoming(entries: List<JsonElement>)

    /** Sends no entries and ignores received ones. */
    public object None : GossipExtension {
        override fun outgoing(): List<JsonElement> = emptyList()

        override fun incoming(entries: List<JsonElement>): Unit = Unit
    }
}
