package org.celeryusher.node.call

import org.celeryusher.kernel.configuration.CallerLimits
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.execution.RetryBounds
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The limits of the data plane that depend both on the settings of this node and on the configuration in force. */
internal class LimitsInForce(
    private val settings: NodeSettings,
    private val routing: RoutingState,
    private val place: FleetPlace,
) {
    /** How long a graceful shutdown waits for calls in flight if the deployment does not state a grace time. */
    val drainLimit: Duration
        get() {
            val configured =
                routing.current.snapshot
                    ?.effectiveSettings(place)
                    ?.drainLimitMilliseconds
            return (configured ?: settings.limits.drainLimitMilliseconds).milliseconds
        }

    /** The bounds of the retry budget under [snapshot]. */
    fun retryBounds(snapshot: ConfigurationSnapshot?): RetryBounds {
        val effective = snapshot?.effectiveSettings(place) ?: return RetryBounds.NONE
        return RetryBounds(effective.retryBudgetShare, effective.retryReserve, settings.bounds.retryWindow ?: DEFAULT_RETRY_WINDOW)
    }

    /** The limits of requests from callers: those of the configuration, within those of the settings. */
    fun callerLimits(): CallerLimits {
        val configured =
            routing.current.snapshot
                ?.document
                ?.callers ?: CallerLimits()
        return configured.copy(
            maximumHeaderBytes = minOf(configured.maximumHeaderBytes, settings.limits.maximumHeaderBytes),
            maximumBodyBytes = minOf(configured.maximumBodyBytes, settings.limits.maximumBodyBytes),
        )
    }

    private companion object {
        val DEFAULT_RETRY_WINDOW = 10.seconds
    }
}
