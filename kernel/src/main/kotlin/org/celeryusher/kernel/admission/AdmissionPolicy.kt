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
    /** How many calls may wait over all ranks; a rank that uses less than an equal part always finds a place. */
    public val queuePlaces: Int,
    public val drainLimit: Duration,
    public val slowStart: Duration,
    /** Whether the server itself states its slots, so that no limit has to be found out from the times that calls take. */
    public val slotsAreExact: Boolean = false,
) {
    init {
        require(ranks.isNotEmpty()) { "a policy needs at least one rank" }
        require(slots >= 1 && connections >= 1) { "a server needs a slot and a connection, has $slots and $connections" }
        require(ranks.sumOf(RankPolicy::guaranteedShare) <= 1.0 + SHARE_ROUNDING) { "the guaranteed shares exceed 1: $ranks" }
    }

    public companion object {
        private const val SHARE_ROUNDING = 1e-6

        /**
         * Returns the policy for a backend server of [service] under [settings], with the ranks of [snapshot].
         *
         * The server's [statedSlots] go before those that the service declares; a server for which neither is known gets one.
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
                queuePlaces = settings.queuedCallsPerSlot * slots,
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
)
