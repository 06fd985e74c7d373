package org.celeryusher.kernel.admission

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.configuration.RankDeclaration
import org.celeryusher.kernel.configuration.ServiceDeclaration
import org.celeryusher.kernel.identity.RankName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the configuration says about one backend server's slots, queue and ranks; ranks are listed with the most urgent first. */
public data class AdmissionPolicy(
    public val ranks: List<RankPolicy>,
    public val slots: Int,
    public val connections: Int,
    /** Places of the queue that any rank may take beyond its reserved places, the more urgent rank first. */
    public val sharedQueuePlaces: Int,
    public val drainLimit: Duration,
    public val slowStart: Duration,
) {
    init {
        require(ranks.isNotEmpty()) { "a policy needs at least one rank" }
        require(slots >= 1 && connections >= 1) { "a server needs a slot and a connection, has $slots and $connections" }
        require(ranks.sumOf(RankPolicy::guaranteedShare) <= 1.0 + SHARE_ROUNDING) { "the guaranteed shares exceed 1: $ranks" }
    }

    public companion object {
        private const val SHARE_ROUNDING = 1e-6
        private const val RESERVED_QUEUE_SHARE = 0.5

        /**
         * Returns the policy for a backend server of [service] under [settings].
         *
         * Half of the queue is reserved by guaranteed share, at least an equal part of a quarter of the queue for each rank; the rest is
         * shared.
         */
        public fun of(
            snapshot: ConfigurationSnapshot,
            settings: FleetSettings,
            service: ServiceDeclaration,
        ): AdmissionPolicy = of(snapshot.document.ranks, settings, service)

        /** Returns the policy for a backend server of [service] under [settings] with the given [ranks]. */
        public fun of(
            ranks: List<RankDeclaration>,
            settings: FleetSettings,
            service: ServiceDeclaration,
        ): AdmissionPolicy {
            val places = settings.queuedCallsPerSlot * service.slots
            val reservable = places * RESERVED_QUEUE_SHARE
            val floor = if (places == 0) 0 else (reservable / 2 / ranks.size).toInt().coerceAtLeast(1)
            val rankPolicies =
                ranks.map { rank ->
                    RankPolicy(rank.name, rank.guaranteedShare, (reservable * rank.guaranteedShare).toInt().coerceAtLeast(floor))
                }
            return AdmissionPolicy(
                ranks = rankPolicies,
                slots = service.slots,
                connections = service.connections,
                sharedQueuePlaces = (places - rankPolicies.sumOf(RankPolicy::reservedQueuePlaces)).coerceAtLeast(0),
                drainLimit = settings.drainLimitMilliseconds.milliseconds,
                slowStart = settings.slowStartMilliseconds.milliseconds,
            )
        }
    }
}

/** What one rank keeps on a backend server whatever the other ranks ask for. */
public data class RankPolicy(
    public val name: RankName,
    /** The share of the slots, 0 to 1. */
    public val guaranteedShare: Double,
    /** The places of the queue that no other rank may take. */
    public val reservedQueuePlaces: Int,
)
