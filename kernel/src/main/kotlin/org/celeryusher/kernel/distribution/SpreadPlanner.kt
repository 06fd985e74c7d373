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
 * Decides to whom a node passes its configuration on, with whom it compares, and from whom it pulls. The caller synchronizes.
 *
 * A version that was put in force is pushed to a few nodes of the own data centre; the node that read it from the platform also pushes it to
 * one node of each other data centre. What a push misses, anti-entropy finds: each gossip exchange carries the digest in force, and
 * whoever lacks the newer one pulls it, one pull at a time.
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

    /** Returns the members to push [digest] to, which came from [source] and was just put in force. Those known to hold it are left out. */
    public fun pushTargets(
        digest: ConfigurationDigest,
        source: ConfigurationSource,
        view: MembershipView,
        random: Random,
    ): List<Member> {
        val lacking = candidates(view).filter { (announcedBy[it.instance]?.version ?: 0) < digest.version }
        val (near, far) = lacking.shuffled(random).partition { it.dataCentre == own.dataCentre }
        val crossings =
            when (source) {
                is ConfigurationSource.Platform -> far.distinctBy(Member::dataCentre)
                is ConfigurationSource.Peer -> emptyList()
            }
        return near.take(settings.fanOut) + crossings
    }

    /** Returns the member for the next gossip exchange, mostly of the own data centre, or null when nobody else is known. */
    public fun partner(
        view: MembershipView,
        random: Random,
    ): Member? {
        val (near, far) = candidates(view).partition { it.dataCentre == own.dataCentre }
        val preferred = if (random.nextDouble() < settings.otherDataCentreShare) far else near
        return preferred.ifEmpty { near + far }.randomOrNull(random)
    }

    /** Takes in that [peer] has [announced] in force, and returns what to do about it. */
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
            holder.wants(announced, now) && isAvailable(peer, now) && isFree(announced, now) -> pull(peer, announced, now)
            else -> SpreadDecision.Nothing
        }
    }

    /**
     * Takes in that the pull from [peer] ended, whatever came of it, and returns the next one to make when something newer is still known.
     *
     * A [peer] that failed or was busy is given in [avoidFor] the time during which it is not asked again; zero after a success.
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
                .filter { (other, announced) -> holder.wants(announced, now) && isAvailable(other, now) }
                .maxByOrNull { (_, announced) -> announced.version } ?: return SpreadDecision.Nothing
        return if (isFree(next.value, now)) pull(next.key, next.value, now) else SpreadDecision.Nothing
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

    private fun isFree(
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
