package org.celeryusher.kernel.distribution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName

/** From whom a node got a configuration. */
@Serializable
public sealed interface ConfigurationSource {
    /** The platform's configuration service. */
    @Serializable
    public data object Platform : ConfigurationSource {
        override fun toString(): String = "platform"
    }

    /** The node on another [instance]. */
    @Serializable
    public data class Peer(
        public val instance: InstanceName,
    ) : ConfigurationSource {
        override fun toString(): String = "peer $instance"
    }
}
