package org.celeryusher.kernel.distribution

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.celeryusher.kernel.configuration.ConfigurationDigest

/**
 * The difference between two configurations as they were published: [delta] turns the bytes of [base] into those of [target].
 *
 * Use it between nodes that hold the published bytes. A [org.celeryusher.kernel.configuration.ConfigurationDelta] compares documents by
 * section instead, and needs a document in celeryusher's own format.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ConfigurationChange(
    @SerialName("b") public val base: ConfigurationDigest,
    @SerialName("t") public val target: ConfigurationDigest,
    @ByteString
    @SerialName("d")
    public val delta: ByteArray,
)
