package org.celeryusher.kernel.distribution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationDigest

/** The configuration status that a node includes in each gossip exchange. */
@Serializable
public data class DistributionStatus(
    /** The configuration that the sender has in force. A starting node uses its version as a [FloorReport]. */
    public val inForce: ConfigurationDigest? = null,
    /** The age in milliseconds of the latest platform answer to any node that the sender knows of. */
    public val sourceAgeMilliseconds: Long? = null,
)
