package org.celeryusher.kernel.distribution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationDigest

/** What each exchange of gossip carries about the configuration. */
@Serializable
public data class DistributionNews(
    /** The configuration that the sender has in force; a starting node takes its version as a [FloorReport]. */
    public val inForce: ConfigurationDigest? = null,
    /** How long ago the platform answered any node of which the sender has heard, in milliseconds. */
    public val sourceAgeMilliseconds: Long? = null,
)
