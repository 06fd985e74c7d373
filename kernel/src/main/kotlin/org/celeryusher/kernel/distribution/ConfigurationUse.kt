package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a node may decide by the configuration that it has in force. */
public sealed interface ConfigurationUse {
    /** Everything: a version that was published longer ago than allowed would be in force here. */
    public data object Full : ConfigurationUse

    /** That a request takes a route that the node knows, but not that there is no route: nothing better is known, and that may have changed. */
    public data object KnownRoutes : ConfigurationUse

    /** Nothing, because others in the fleet decide by a newer version, or are likely to. */
    public data class None(
        public val reason: OldConfigurationReason,
    ) : ConfigurationUse
}

/** Why a node decides nothing by its configuration, beside the age of its confirmation. */
public enum class OldConfigurationReason {
    /** A newer version is known. */
    NEWER_VERSION_KNOWN,

    /** The process was paused, or got too little processor time, and nobody has answered it since. */
    PAUSED,
}

/**
 * Decides what a node may do by a configuration that was confirmed some time ago.
 *
 * A published version must be in force everywhere within [limit]. A node whose configuration was confirmed within that time cannot break
 * this. One that is beyond it refuses work, as not run, if it can tell that it is behind the fleet. While the platform answers nobody, or the
 * node is cut off from all others, the fleet serves by what it has: then only the statement that there is no route is withheld.
 */
public class ConfigurationLimit(
    private val limit: Duration = DEFAULT_LIMIT,
) {
    /** Returns what may be decided by a configuration of this [recency]. One whose recency is not known may decide everything. */
    public fun useOf(recency: ConfigurationRecency?): ConfigurationUse {
        val age = recency?.confirmedAge
        return when {
            recency == null || (age != null && age <= limit) -> ConfigurationUse.Full
            recency.behindFor > behindTolerance -> ConfigurationUse.None(OldConfigurationReason.NEWER_VERSION_KNOWN)
            wasPaused(recency) -> ConfigurationUse.None(OldConfigurationReason.PAUSED)
            else -> ConfigurationUse.KnownRoutes
        }
    }

    // A node that nobody has answered for longer is cut off, and has nothing to wait for.
    private fun wasPaused(recency: ConfigurationRecency): Boolean {
        val pausedAge = recency.pausedAge ?: return false
        return pausedAge <= limit && (recency.informedAge ?: Duration.INFINITE) >= pausedAge
    }

    public companion object {
        /** The time within which a version must be in force where a deployment states none. */
        public val DEFAULT_LIMIT: Duration = 2.seconds

        /** The time that a change usually takes from the news of it until it is in force. */
        private val behindTolerance = 250.milliseconds
    }
}
