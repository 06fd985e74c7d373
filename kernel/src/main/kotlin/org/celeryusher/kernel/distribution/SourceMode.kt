package org.celeryusher.kernel.distribution

/** How a node gets the platform's data now, as operators see it. */
public enum class SourceMode {
    /** It reads the platform, which answers. */
    READING,

    /** It asks nodes that read the platform, and their data is recent. */
    FOLLOWING,

    /** Neither the platform nor a node that it has asked gave it recent data. What it knows stays in force. */
    SEARCHING,
}
