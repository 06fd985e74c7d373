package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable

/** Names one configuration: its [version] and the hash of its canonical content. Two digests with one version and unequal hashes conflict. */
@Serializable
public data class ConfigurationDigest(
    public val version: Long,
    public val contentHash: Long,
)
