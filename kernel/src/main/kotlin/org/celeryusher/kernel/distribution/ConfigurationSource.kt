package org.celeryusher.kernel.distribution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName

/** Where a node obtained a configuration. */
@Serializable
public sealed interface ConfigurationSource {
    /** The platform's configuration service. */
    @Serializable
    public data object Platform : ConfigurationSource {
        override fun toString(): String = "platform"
    }

    /** Another node, identified by its [instance]. */
    @Serializable
    public data class Peer(
        public val instance: InstanceName,
    ) : ConfigurationSource {
        override fun toString(): String = "peer $instance"
    }
}
