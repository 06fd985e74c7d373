package org.celeryusher.node.settings

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * Bounds that a deployment states in the settings of its nodes. Null for one that it does not state, or that is not understood.
 *
 * Platforms state bounds in forms of their own, so each may be a JSON number, string or Boolean. One that is not understood costs a warning
 * and the default, never the start of the node.
 */
@Serializable
public data class DeploymentBounds(
    /** The repeats of a service that are allowed in a [retryWindow], as a share of the requests that callers send to it, such as `0.2`. */
    @Serializable(with = StatedShareSerializer::class)
    public val retryShare: Double? = null,
    /** The number of repeats of a service that are allowed beyond [retryShare] in a [retryWindow], such as `60`; a fraction is rounded down. */
    @Serializable(with = StatedCountSerializer::class)
    public val retryReserve: Int? = null,
    /** The window in which repeats are counted, such as `10s`. */
    @Serializable(with = StatedDurationSerializer::class)
    public val retryWindow: Duration? = null,
    /** The time from SIGTERM until the process is killed, such as `6s`. */
    @Serializable(with = StatedDurationSerializer::class)
    public val grace: Duration? = null,
    /** How many times the calls a second that a cold server states it may get at most, such as `1.5`. */
    @Serializable(with = StatedNumberSerializer::class)
    public val coldOverage: Double? = null,
    /** The calls a second that a cold server may get at most beyond [coldOverage], such as `8`. */
    @Serializable(with = StatedNumberSerializer::class)
    public val coldReserve: Double? = null,
    /** The time within which a published configuration must be in force at every node, such as `2500ms`. */
    @Serializable(with = StatedDurationSerializer::class)
    public val configurationApply: Duration? = null,
) {
    internal companion object {
        /** How each bound is read, by its name. */
        val serializers: Map<String, StatedValueSerializer<*>> =
            mapOf(
                "retryShare" to StatedShareSerializer,
                "retryReserve" to StatedCountSerializer,
                "retryWindow" to StatedDurationSerializer,
                "grace" to StatedDurationSerializer,
                "coldOverage" to StatedNumberSerializer,
                "coldReserve" to StatedNumberSerializer,
                "configurationApply" to StatedDurationSerializer,
            )
    }
}
