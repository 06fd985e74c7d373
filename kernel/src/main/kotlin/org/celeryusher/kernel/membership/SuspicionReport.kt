package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** A current suspicion of [instance]: the nodes whose probes led to it, its start, and whether the eviction is held. */
public data class SuspicionReport(
    public val instance: InstanceName,
    public val suspectedBy: Set<InstanceName>,
    public val since: Moment,
    public val isEvictionHeld: Boolean,
)
