package org.celeryusher.kernel.distribution

import kotlin.time.Duration

/** How recent the configuration of a node is, as far as the node knows at one moment. */
public data class ConfigurationRecency(
    /** How long ago the configuration in force is known to have been the newest one, or null if it never was. */
    public val confirmedAge: Duration?,
    /** How long ago the platform or another node last answered, also with old data, or null if none ever did. */
    public val informedAge: Duration?,
    /** How long a newer version has been known that is not in force; zero if none is known. */
    public val behindFor: Duration = Duration.ZERO,
    /** How long ago the process last noticed that it had been paused or got too little processor time, or null if it never was. */
    public val pausedAge: Duration? = null,
)
