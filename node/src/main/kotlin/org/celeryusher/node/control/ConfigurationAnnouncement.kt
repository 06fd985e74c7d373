package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.CompactAddressSerializer

/**
 * An announcement of the configuration that the sender has in force: the body of `POST /control/configuration` and of its response.
 *
 * A node sends it after it has put a version in force. A node that has just started sends it to several peers to ask for theirs.
 */
@Serializable
internal data class ConfigurationAnnouncement(
    val sender: InstanceName,
    val dataCentre: DataCentreName,
    @Serializable(CompactAddressSerializer::class)
    val controlAddress: Address,
    /** Null while the sender has no configuration in force. */
    val inForce: ConfigurationDigest? = null,
    val sourceAgeMilliseconds: Long? = null,
    /** The encoded delta from the previous configuration, included only when it is small. */
    val delta: String? = null,
)
