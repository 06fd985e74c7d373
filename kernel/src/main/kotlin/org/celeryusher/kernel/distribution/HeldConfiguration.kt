package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.time.Moment

/** A configuration that a node holds, from whom it came, and since when it is held. */
public data class HeldConfiguration(
    public val snapshot: ConfigurationSnapshot,
    public val source: ConfigurationSource,
    public val since: Moment,
)
