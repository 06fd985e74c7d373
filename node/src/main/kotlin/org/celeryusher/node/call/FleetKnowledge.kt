package org.celeryusher.node.call

import org.celeryusher.kernel.distribution.ConfigurationRecency
import org.celeryusher.kernel.distribution.ConfigurationUse
import org.celeryusher.kernel.time.Moment

/** How recent what this node decides by is. */
internal interface FleetKnowledge {
    /** Waits while new work must not be placed because this process has just started or was paused. The wait is limited. */
    suspend fun awaitRefresh()

    /** Returns how recent the configuration in force is at [now], or null where nothing states whether it is the newest one. */
    fun configurationRecency(now: Moment): ConfigurationRecency?

    /** Returns what may be decided by a configuration of this [recency]. */
    fun useOf(recency: ConfigurationRecency?): ConfigurationUse
}
