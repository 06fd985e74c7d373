package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.time.Moment

/** A configuration that a node holds, with its source and the moment since which it is held. */
public data class HeldConfiguration(
    public val snapshot: ConfigurationSnapshot,
    public val source: ConfigurationSource,
    public val since: Moment,
)
