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
 * Drives the state machines that hold and disseminate the configuration.
 *
 * Each received configuration is offered to the holder. One that is put in force is passed to the routing and announced to peers.
 *
 * Not thread-safe: [ControlState] synchronizes access.
 */
internal class ConfigurationDriver(
    private val own: Member,
    private val routing: RoutingState,
    private val tuning: ControlTuning,
    startedAt: Moment,
    private val random: Random,
    private val decisions: DecisionLog,
) {
    private val floor = VersionFloor(startedAt, own.dataCentre, tuning.floor)
    private val holder = VersionHolder(floor)
    private val planner = DisseminationPlanner(own, tuning.dissemination)
    private val transfers = TransferPlanner(tuning.dissemination)
    private val announcedConflicts = LinkedHashMap<InstanceName, ConfigurationDigest>()

    val held: HeldConfiguration? get() = holder.current
    val digest: ConfigurationDigest? get() = holder.current?.snapshot?.digest
    val highestReported: Long? get() = floor.highestReported
    val floorExpiresAt: Moment get() = floor.expiresAt
    val events: List<HolderEvent> get() = holder.events

    /** The digests that peers announced with the version in force here but with different content, by peer. */
    val conflicts: Map<InstanceName, ConfigurationDigest> get() = announcedConflicts.filterValues { it.version == digest?.version }

    /** Returns the version that a document must exceed to end the next watch of the platform. */
    fun watchAfter(now: Moment): Long = holder.watchAfter(now)

    /** Offers the document in [bytes], which came from [source] with the digest [claimed], if any. */
    fun offer(
        bytes: ByteArray,
        source: ConfigurationSource,
        claimed: ConfigurationDigest?,
        view: MembershipView,
        now: Moment,
    ): OfferResult = handleDecision(holder.offer(bytes, source, now, claimed), source, view)

    /** Offers [snapshot], which results from a delta that came from [source]. */
    fun offer(
        snapshot: ConfigurationSnapshot,
        source: ConfigurationSource,
        view: MembershipView,
        now: Moment,
    ): OfferResult = handleDecision(holder.offer(snapshot, source, now), source, view)

    /** Handles the announcement by [peer] that it has [announced] in force. */
    fun handleAnnouncement(
        peer: KnownPeer,
        announced: ConfigurationDigest,
        view: MembershipView,
        now: Moment,
    ): List<ControlAction> {
        val released =
            if (held == null) holder.addPeerVersion(PeerVersion(peer.instance, peer.dataCentre, announced.version), now) else null
        val actions = released?.let { handleDecision(it, it.held.source, view).actions }.orEmpty()
        return actions + execute(planner.onAnnouncement(peer.instance, announced, holder, now), view, peer)
    }

    /** Puts a waiting configuration in force once the wait for the version floor has ended. */
    fun tick(
        view: MembershipView,
        now: Moment,
    ): List<ControlAction> = holder.releaseIfDue(now)?.let { handleDecision(it, it.held.source, view).actions }.orEmpty()

    /** Handles the end of the pull from [peer]; no pull from it starts again for [avoidFor]. */
    fun pullEnded(
        peer: InstanceName,
        avoidFor: Duration,
        view: MembershipView,
        now: Moment,
    ): List<ControlAction> = execute(planner.pullEnded(peer, avoidFor, holder, now), view, null)

    /** Returns the transfer for [peer], which holds [peerHeld]. The caller reports its end by [transferEnded]. */
    fun transferFor(
        peer: InstanceName,
        peerHeld: ConfigurationDigest?,
        now: Moment,
    ): TransferDecision = transfers.answer(peer, peerHeld, now)

    fun transferEnded(peer: InstanceName): Unit = transfers.ended(peer)

    private fun handleDecision(
        decision: OfferDecision,
        source: ConfigurationSource,
        view: MembershipView,
    ): OfferResult {
        log(decision, source)
        val actions = if (decision is OfferDecision.InForce) putInForce(decision, view) else emptyList()
        return OfferResult(decision, actions)
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

    private fun execute(
        decision: DisseminationDecision,
        view: MembershipView,
        announcer: KnownPeer?,
    ): List<ControlAction> =
        when (decision) {
            DisseminationDecision.Nothing -> emptyList()
            is DisseminationDecision.Pull -> listOf(pull(decision.peer, view, announcer))
            is DisseminationDecision.Conflict -> {
                recordConflict(decision)
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
            ControlAction.AbandonPull(peer, tuning.dissemination.pullTimeout)
        } else {
            ControlAction.Pull(peer, address, digest)
        }
    }

    private fun recordConflict(conflict: DisseminationDecision.Conflict) {
        if (announcedConflicts.put(conflict.peer, conflict.announced) == conflict.announced) return
        if (announcedConflicts.size > MAXIMUM_CONFLICTS) announcedConflicts.remove(announcedConflicts.keys.first())
        decisions.record(
            SUBJECT,
            "kept ${conflict.held.version}",
            "a peer has different content under the same version",
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
                val reason = if (decision.belowFloor == null) "newer than the previous one" else "the wait for a higher version has ended"
                decisions.record(
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
                decisions.record(
                    SUBJECT,
                    "kept ${decision.held.version}",
                    "older",
                    "source" to source,
                    "offered" to decision.offered.version,
                )
            is OfferDecision.ConflictingContent ->
                decisions.record(
                    SUBJECT,
                    "refused ${decision.offered.version}",
                    "same version as the one in force, different content",
                    "source" to source,
                )
            is OfferDecision.Refused ->
                if (!decision.repeated) {
                    decisions.record(SUBJECT, "refused", decision.faults.joinToString("; "), "source" to source)
                }
            is OfferDecision.WaitingForFloor ->
                decisions.record(
                    SUBJECT,
                    "waits ${decision.offered.version}",
                    "the version that peers have in force is not known yet, or is higher",
                    "source" to source,
                    "floor" to decision.floor,
                )
        }
    }

    private companion object {
        const val SUBJECT = "configuration"
        const val MAXIMUM_CONFLICTS = 64
    }
}

/** The decision about an offered configuration and the actions that follow from it. */
internal class OfferResult(
    val decision: OfferDecision,
    val actions: List<ControlAction>,
)
