package org.celeryusher.kernel.admission

import org.celeryusher.kernel.configuration.ServiceDeclaration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a cold backend server takes: the calls a second that it is sent, and how many it withstands. */
public data class ColdPolicy(
    /** The calls a second that a cold server is sent on average. */
    public val callsPerSecond: Double,
    /** How long a server stays cold after its start; also how long one is taken for cold whose state is not known. */
    public val coldStart: Duration,
    /** The number of calls in any one second at which the server is still safe. */
    public val maximumInOneSecond: Int,
) {
    public companion object {
        /**
         * Returns the policy of [service], or null if it states no limit for cold servers or the deployment states no bound.
         *
         * The deployment bounds the calls in one second by [overage] times the limit plus [reserve]; null for either that it does not state.
         */
        public fun of(
            service: ServiceDeclaration,
            overage: Double?,
            reserve: Double?,
        ): ColdPolicy? {
            val rate = service.coldCallsPerSecond?.takeIf { it > 0.0 } ?: return null
            if (overage == null && reserve == null) return null
            val bound = rate * (overage ?: 1.0) + (reserve ?: 0.0)
            return ColdPolicy(
                callsPerSecond = minOf(rate, bound),
                coldStart = (service.coldStartMilliseconds ?: DEFAULT_COLD_START).coerceAtLeast(0).milliseconds,
                maximumInOneSecond = bound.coerceAtMost(MAXIMUM_BOUND).toInt().coerceAtLeast(1),
            )
        }

        /** Assumed when a service states a limit but no time; as long as the cold starts seen so far. */
        private const val DEFAULT_COLD_START = 3_000L

        /** A bound beyond this is of no use to a server that needs protection, and would cost memory for the record of starts. */
        private const val MAXIMUM_BOUND = 10_000.0
    }
}
