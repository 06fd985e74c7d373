package org.celeryusher.node.settings

import kotlinx.serialization.Serializable

/** The limits of the machine that a node runs on, as far as the deployment states them; null for one that it does not state. */
@Serializable
public data class MachineLimits(
    /** The memory that the process may use, in megabytes. */
    @Serializable(with = StatedCountSerializer::class)
    public val memoryMegabytes: Int? = null,
    /** The number of file descriptors that the process may have open. */
    @Serializable(with = StatedCountSerializer::class)
    public val descriptors: Int? = null,
    /** The rate of the link to other instances, in megabits a second. Without it large messages are sent as fast as connections take them. */
    @Serializable(with = StatedNumberSerializer::class)
    public val linkMegabitsPerSecond: Double? = null,
) {
    internal companion object {
        /** How each limit is read, by its name. */
        val serializers: Map<String, StatedValueSerializer<*>> =
            mapOf(
                "memoryMegabytes" to StatedCountSerializer,
                "descriptors" to StatedCountSerializer,
                "linkMegabitsPerSecond" to StatedNumberSerializer,
            )
    }
}
