package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.CompactAddressSerializer

/**
 * Tells another node which configuration the sender has in force: the body of `POST /control/configuration` and of its answer.
 *
 * It is sent when a version was put in force, and by a node that has just started to ask several peers for theirs.
 */
@Serializable
internal data class ConfigurationNews(
    val sender: InstanceName,
    val dataCentre: DataCentreName,
    @Serializable(CompactAddressSerializer::class)
    val controlAddress: Address,
    /** Null while the sender has none in force. */
    val inForce: ConfigurationDigest? = null,
    val sourceAgeMilliseconds: Long? = null,
    /** The encoded delta from the configuration before, when it is small. */
    val delta: String? = null,
)
