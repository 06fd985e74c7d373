package org.celeryusher.kernel.admission

import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.configuration.RankDeclaration
import org.celeryusher.kernel.configuration.ServiceDeclaration
import org.celeryusher.kernel.identity.RankName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The admission settings of one backend server: its slots, queue and [ranks], the most urgent rank first. */
public data class AdmissionPolicy(
    public val ranks: List<RankPolicy>,
    public val slots: Int,
    public val connections: Int,
    /**
     * The maximum number of queued calls over all ranks. A rank that uses less than half of an equal part can always
     * queue a call that is on time.
     */
    public val queueCapacity: Int,
    public val drainLimit: Duration,
    public val slowStart: Duration,
    /** Whether the server itself reports its slots, so that the concurrency limit is not adapted to measured service times. */
    public val slotsAreExact: Boolean = false,
    /** What a cold server takes, or null without a limit. */
    public val cold: ColdPolicy? = null,
    /** The maximum number of bytes in the bodies of the calls that run at a time on a server that states its slowdown. */
    public val maximumServerBytes: Long = Long.MAX_VALUE,
) {
    init {
        require(ranks.isNotEmpty()) { "an admission policy needs at least one rank" }
        require(slots >= 1 && connections >= 1) { "slots and connections must be at least 1, but are $slots and $connections" }
        require(ranks.sumOf(RankPolicy::guaranteedShare) <= 1.0 + SHARE_ROUNDING) { "the sum of the guaranteed shares exceeds 1: $ranks" }
    }

    public companion object {
        private const val SHARE_ROUNDING = 1e-6

        /**
         * Returns the policy for a backend server of [service] under [settings], with the ranks of [snapshot].
         *
         * The [statedSlots] that the server itself reports take precedence over those that the service declares. Without either, the
         * server has one slot.
         */
        public fun of(
            snapshot: ConfigurationSnapshot,
            settings: FleetSettings,
            service: ServiceDeclaration,
            statedSlots: Int? = null,
        ): AdmissionPolicy =
            of(snapshot.document.ranks, settings, service.copy(slots = statedSlots ?: service.slots)).copy(
                slotsAreExact =
                    statedSlots != null,
            )

        /** Returns the policy for a backend server of [service] under [settings] with the given [ranks]. */
        public fun of(
            ranks: List<RankDeclaration>,
            settings: FleetSettings,
            service: ServiceDeclaration,
        ): AdmissionPolicy {
            val slots = service.slots ?: 1
            return AdmissionPolicy(
                ranks = ranks.map { RankPolicy(it.name, it.guaranteedShare) },
                slots = slots,
                connections = service.connections,
                queueCapacity = settings.queuedCallsPerSlot * slots,
                drainLimit = settings.drainLimitMilliseconds.milliseconds,
                slowStart = settings.slowStartMilliseconds.milliseconds,
            )
        }
    }
}

/** The capacity that one rank is guaranteed on a backend server, however many calls the other ranks have. */
public data class RankPolicy(
    public val name: RankName,
    /** The guaranteed share of the slots, from 0 to 1. */
    public val guaranteedShare: Double,
)
