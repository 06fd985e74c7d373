package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Decides to which nodes a node pushes its configuration, with which node it gossips, and from which node it pulls.
 *
 * A node pushes a version that it puts in force to a few nodes of its own data centre. The node that read the version from the platform
 * also pushes it to one node of each other data centre. Anti-entropy repairs missed pushes: gossip exchanges include the digest in force,
 * and a node that learns of a newer one pulls it, one pull at a time. Not thread-safe: the caller synchronizes.
 */
public class SpreadPlanner(
    private val own: Member,
    private val settings: SpreadSettings = SpreadSettings(),
) {
    private data class ActivePull(
        val peer: InstanceName,
        val version: Long,
        val expiresAt: Moment,
    )

    private val announcedBy = BoundedMap<InstanceName, ConfigurationDigest>(MAXIMUM_REMEMBERED_PEERS)
    private val avoidedUntil = BoundedMap<InstanceName, Moment>(MAXIMUM_REMEMBERED_PEERS)
    private var activePull: ActivePull? = null

    /** Returns the members to push [digest] to after it was put in force from [source], without those known to hold it. */
    public fun pushTargets(
        digest: ConfigurationDigest,
        source: ConfigurationSource,
        view: MembershipView,
        random: Random,
    ): List<Member> {
        val outdated = candidates(view).filter { (announcedBy[it.instance]?.version ?: 0) < digest.version }
        val (local, remote) = outdated.shuffled(random).partition { it.dataCentre == own.dataCentre }
        val remoteTargets =
            when (source) {
                is ConfigurationSource.Platform -> remote.distinctBy(Member::dataCentre)
                is ConfigurationSource.Peer -> emptyList()
            }
        return local.take(settings.fanOut) + remoteTargets
    }

    /** Returns a random member for the next gossip exchange, usually of the own data centre, or null when no other member is known. */
    public fun selectGossipPeer(
        view: MembershipView,
        random: Random,
    ): Member? {
        val (local, remote) = candidates(view).partition { it.dataCentre == own.dataCentre }
        val preferred = if (random.nextDouble() < settings.otherDataCentreShare) remote else local
        return preferred.ifEmpty { local + remote }.randomOrNull(random)
    }

    /** Records that [peer] has [announced] in force, and returns what to do about it. */
    public fun onAnnouncement(
        peer: InstanceName,
        announced: ConfigurationDigest,
        holder: VersionHolder,
        now: Moment,
    ): SpreadDecision {
        announcedBy[peer] = announced
        val held = holder.current?.snapshot?.digest
        return when {
            held != null && announced.version == held.version && announced != held -> SpreadDecision.Conflict(peer, announced, held)
            holder.shouldPull(announced, now) && isAvailable(peer, now) && mayPull(announced, now) -> pull(peer, announced, now)
            else -> SpreadDecision.Nothing
        }
    }

    /**
     * Records that the pull from [peer] ended, successfully or not, and returns the next pull when a newer version is still known.
     *
     * [avoidFor] is how long a peer that failed or was busy is not asked again; zero after a success.
     */
    public fun pullEnded(
        peer: InstanceName,
        avoidFor: Duration,
        holder: VersionHolder,
        now: Moment,
    ): SpreadDecision {
        if (activePull?.peer == peer) activePull = null
        if (avoidFor > Duration.ZERO) avoidedUntil[peer] = now + avoidFor
        val next =
            announcedBy.entries
                .filter { (other, announced) -> holder.shouldPull(announced, now) && isAvailable(other, now) }
                .maxByOrNull { (_, announced) -> announced.version } ?: return SpreadDecision.Nothing
        return if (mayPull(next.value, now)) pull(next.key, next.value, now) else SpreadDecision.Nothing
    }

    private fun pull(
        peer: InstanceName,
        announced: ConfigurationDigest,
        now: Moment,
    ): SpreadDecision {
        activePull = ActivePull(peer, announced.version, now + settings.pullTimeout)
        return SpreadDecision.Pull(peer, announced)
    }

    private fun isAvailable(
        peer: InstanceName,
        now: Moment,
    ): Boolean = avoidedUntil[peer]?.let { now >= it } ?: true

    private fun mayPull(
        announced: ConfigurationDigest,
        now: Moment,
    ): Boolean = activePull?.let { now >= it.expiresAt || announced.version > it.version } ?: true

    private fun candidates(view: MembershipView): List<Member> {
        val others = view.members.filter { it.instance != own.instance && it.state != MemberState.DEAD }
        return others.filter { it.state != MemberState.SUSPECTED }.ifEmpty { others }
    }

    private companion object {
        const val MAXIMUM_REMEMBERED_PEERS = 256
    }
}
