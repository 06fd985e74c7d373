package org.celeryusher.node.control

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.DisseminationDecision
import org.celeryusher.kernel.distribution.DisseminationPlanner
import org.celeryusher.kernel.distribution.HeldConfiguration
import org.celeryusher.kernel.distribution.HolderEvent
import org.celeryusher.kernel.distribution.OfferDecision
import org.celeryusher.kernel.distribution.PeerVersion
import org.celeryusher.kernel.distribution.TransferDecision
import org.celeryusher.kernel.distribution.TransferPlanner
import org.celeryusher.kernel.distribution.VersionFloor
import org.celeryusher.kernel.distribution.VersionHolder
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.RoutingState
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Drives the holding and spreading of the configuration: what comes is offered, what is put in force goes to the routing and to peers.
 *
 * Not thread-safe: [ControlState] synchronizes.
 */
internal class ConfigurationKeeper(
    private val own: Member,
    private val routing: RoutingState,
    private val tuning: ControlTuning,
    startedAt: Moment,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val floor = VersionFloor(startedAt, own.dataCentre, tuning.floor)
    private val holder = VersionHolder(floor)
    private val planner = DisseminationPlanner(own, tuning.spread)
    private val transfers = TransferPlanner(tuning.spread)
    private val announcedConflicts = LinkedHashMap<InstanceName, ConfigurationDigest>()

    val held: HeldConfiguration? get() = holder.current
    val digest: ConfigurationDigest? get() = holder.current?.snapshot?.digest
    val highestReported: Long? get() = floor.highestReported
    val floorExpiresAt: Moment get() = floor.expiresAt
    val events: List<HolderEvent> get() = holder.events

    /** Configurations that peers announced with the version that is held here and other content. */
    val conflicts: Map<InstanceName, ConfigurationDigest> get() = announcedConflicts.filterValues { it.version == digest?.version }

    /** The version after which a watch of the platform shall wait. */
    fun watchAfter(now: Moment): Long = holder.watchAfter(now)

    /** Takes in the document in [bytes]. */
    fun offer(
        bytes: ByteArray,
        source: ConfigurationSource,
        claimed: ConfigurationDigest?,
        view: MembershipView,
        now: Moment,
    ): Offered = conclude(holder.offer(bytes, source, now, claimed), source, view)

    /** Takes in [snapshot], which came from [source] as a difference. */
    fun offer(
        snapshot: ConfigurationSnapshot,
        source: ConfigurationSource,
        view: MembershipView,
        now: Moment,
    ): Offered = conclude(holder.offer(snapshot, source, now), source, view)

    /** Takes in that [peer] has [announced] in force. */
    fun announced(
        peer: KnownPeer,
        announced: ConfigurationDigest,
        view: MembershipView,
        now: Moment,
    ): List<ControlAction> {
        val released =
            if (held == null) holder.addPeerVersion(PeerVersion(peer.instance, peer.dataCentre, announced.version), now) else null
        val actions = released?.let { conclude(it, it.held.source, view).actions }.orEmpty()
        return actions + carryOut(planner.onAnnouncement(peer.instance, announced, holder, now), view, peer)
    }

    /** Puts a waiting configuration in force when the wait for the floor is over. */
    fun tick(
        view: MembershipView,
        now: Moment,
    ): List<ControlAction> = holder.releaseIfDue(now)?.let { conclude(it, it.held.source, view).actions }.orEmpty()

    /** Takes in that the pull from [peer] ended; it is not asked again for [avoidFor]. */
    fun pullEnded(
        peer: InstanceName,
        avoidFor: Duration,
        view: MembershipView,
        now: Moment,
    ): List<ControlAction> = carryOut(planner.pullEnded(peer, avoidFor, holder, now), view, null)

    /** Returns what to send to [peer]; report the end by [transferEnded]. */
    fun transferFor(
        peer: InstanceName,
        peerHeld: ConfigurationDigest?,
        now: Moment,
    ): TransferDecision = transfers.answer(peer, peerHeld, now)

    fun transferEnded(peer: InstanceName): Unit = transfers.ended(peer)

    private fun conclude(
        decision: OfferDecision,
        source: ConfigurationSource,
        view: MembershipView,
    ): Offered {
        log(decision, source)
        val actions = if (decision is OfferDecision.InForce) putInForce(decision, view) else emptyList()
        return Offered(decision, actions)
    }

    private fun putInForce(
        decision: OfferDecision.InForce,
        view: MembershipView,
    ): List<ControlAction> {
        val snapshot = decision.held.snapshot
        routing.putInForce(snapshot)
        transfers.updateCurrent(snapshot)
        val delta = transfers.deltaForPush(decision.previous)
        return planner
            .pushTargets(snapshot.digest, decision.held.source, view, random)
            .map { ControlAction.Announce(it.controlAddress, delta) }
    }

    private fun carryOut(
        decision: DisseminationDecision,
        view: MembershipView,
        announcer: KnownPeer?,
    ): List<ControlAction> =
        when (decision) {
            DisseminationDecision.Nothing -> emptyList()
            is DisseminationDecision.Pull -> listOf(pull(decision.peer, view, announcer))
            is DisseminationDecision.Conflict -> {
                noteConflict(decision)
                emptyList()
            }
        }

    private fun pull(
        peer: InstanceName,
        view: MembershipView,
        announcer: KnownPeer?,
    ): ControlAction {
        val address = announcer?.takeIf { it.instance == peer }?.controlAddress ?: view[peer]?.controlAddress
        return if (address == null) {
            ControlAction.AbandonPull(peer, tuning.spread.pullTimeout)
        } else {
            ControlAction.Pull(peer, address, digest)
        }
    }

    private fun noteConflict(conflict: DisseminationDecision.Conflict) {
        if (announcedConflicts.put(conflict.peer, conflict.announced) == conflict.announced) return
        if (announcedConflicts.size > REMEMBERED_CONFLICTS) announcedConflicts.remove(announcedConflicts.keys.first())
        decisions.decision(
            SUBJECT,
            "kept ${conflict.held.version}",
            "a peer has other content under the same version",
            "peer" to conflict.peer,
            "heldHash" to conflict.held.contentHash,
            "announcedHash" to conflict.announced.contentHash,
        )
    }

    private fun log(
        decision: OfferDecision,
        source: ConfigurationSource,
    ) {
        when (decision) {
            is OfferDecision.InForce -> {
                val reason = if (decision.belowFloor == null) "newer than the one before" else "the wait for a higher version is over"
                decisions.decision(
                    SUBJECT,
                    "in force ${decision.held.snapshot.digest.version}",
                    reason,
                    "source" to decision.held.source,
                    "previous" to decision.previous?.version,
                    "floor" to decision.belowFloor,
                )
            }
            is OfferDecision.AlreadyHeld -> Unit
            is OfferDecision.Older ->
                decisions.decision(
                    SUBJECT,
                    "kept ${decision.held.version}",
                    "older",
                    "source" to source,
                    "offered" to decision.offered.version,
                )
            is OfferDecision.ConflictingContent ->
                decisions.decision(
                    SUBJECT,
                    "refused ${decision.offered.version}",
                    "same version as the held one, other content",
                    "source" to source,
                )
            is OfferDecision.Refused ->
                if (!decision.repeated) {
                    decisions.decision(SUBJECT, "refused", decision.faults.joinToString("; "), "source" to source)
                }
            is OfferDecision.WaitingForFloor ->
                decisions.decision(
                    SUBJECT,
                    "waits ${decision.offered.version}",
                    "the version that peers hold is not known yet, or is higher",
                    "source" to source,
                    "floor" to decision.floor,
                )
        }
    }

    private companion object {
        const val SUBJECT = "configuration"
        const val REMEMBERED_CONFLICTS = 64
    }
}

/** What was decided about an offered configuration, and what is to be sent because of it. */
internal class Offered(
    val decision: OfferDecision,
    val actions: List<ControlAction>,
)
