package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** A suspicion in progress: which [instance], by whose probes, since when, and whether its eviction is held back. */
public data class SuspicionReport(
    public val instance: InstanceName,
    public val suspectedBy: Set<InstanceName>,
    public val since: Moment,
    public val isEvictionHeld: Boolean,
)
