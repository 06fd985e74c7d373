package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable

/** Identifies a configuration by its [version] and a hash of its content. Digests with the same version and different hashes conflict. */
@Serializable
public data class ConfigurationDigest(
    public val version: Long,
    public val contentHash: Long,
)
