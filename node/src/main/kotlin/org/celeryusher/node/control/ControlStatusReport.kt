package org.celeryusher.node.control

import org.celeryusher.kernel.distribution.HeldConfiguration
import org.celeryusher.kernel.distribution.HolderEvent
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.SuspicionReport
import org.celeryusher.kernel.time.Moment

/** Creates the [ControlStatus] of the state machines at [now]. */
internal class ControlStatusReport(
    private val own: Member,
    private val configuration: ConfigurationDriver,
    private val members: MembershipDriver,
    private val now: Moment,
) {
    fun create(
        traffic: ControlTrafficCounts,
        source: SourceStatus,
        instanceSource: SourceStatus,
        instancesRevision: Long?,
        needsRefresh: Boolean,
    ): ControlStatus {
        val suspicions = members.suspicions().associateBy(SuspicionReport::instance)
        return ControlStatus(
            instance = own.instance,
            incarnation = members.incarnation,
            configuration = configuration.held?.let(::statusOf),
            floor = configuration.highestReported,
            refused = configuration.events.filterIsInstance<HolderEvent.Refused>().map(::statusOf),
            conflicts = conflicts(),
            configurationSource = source,
            instancesSource = instanceSource,
            instancesRevision = instancesRevision,
            members = members.view.members.map { statusOf(it, suspicions[it.instance]) },
            isLeaving = members.isLeaving,
            needsRefresh = needsRefresh,
            healthMultiplier = members.healthMultiplier,
            traffic = traffic,
        )
    }

    private fun statusOf(held: HeldConfiguration): ConfigurationStatus =
        ConfigurationStatus(
            version = held.snapshot.digest.version,
            contentHash = held.snapshot.digest.contentHash,
            source = held.source.toString(),
            heldForMilliseconds = (now - held.since).inWholeMilliseconds,
        )

    private fun statusOf(event: HolderEvent.Refused): RefusedStatus =
        RefusedStatus(
            event.version,
            event.source.toString(),
            (now - event.at).inWholeMilliseconds,
            event.faults.map {
                it.toString()
            },
        )

    private fun conflicts(): List<ConflictStatus> {
        val announced = configuration.conflicts.map { (peer, digest) -> ConflictStatus(digest.version, digest.contentHash, "peer $peer") }
        val offered =
            configuration.events
                .filterIsInstance<HolderEvent.Conflict>()
                .map { ConflictStatus(it.offered.version, it.offered.contentHash, it.source.toString()) }
        return (announced + offered).distinct()
    }

    private fun statusOf(
        member: Member,
        suspicion: SuspicionReport?,
    ): MemberStatus =
        MemberStatus(
            instance = member.instance,
            service = member.service,
            dataCentre = member.dataCentre,
            state = member.state,
            incarnation = member.incarnation,
            suspectedBy = suspicion?.suspectedBy?.toList().orEmpty(),
            suspectedForMilliseconds = suspicion?.let { (now - it.since).inWholeMilliseconds },
            isEvictionHeld = suspicion?.isEvictionHeld ?: false,
        )
}
