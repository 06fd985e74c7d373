package org.celeryusher.node.control

import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.ReadDecision
import org.celeryusher.kernel.distribution.ReadSubject
import org.celeryusher.kernel.distribution.ReaderSchedule
import org.celeryusher.kernel.distribution.SourceFreshness
import org.celeryusher.kernel.distribution.TransferDecision
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.GossipMessage
import org.celeryusher.kernel.membership.GossipPayload
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipEvent
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.ProcessClock
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.NodeSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The state machines of one node's control plane, guarded by one lock that is never held during I/O.
 *
 * Each event handler returns the actions to execute.
 */
internal class ControlState(
    settings: NodeSettings,
    incarnation: Incarnation,
    routing: RoutingState,
    private val clock: ProcessClock,
    private val random: Random,
    private val tuning: ControlTuning,
    decisions: DecisionLog,
) {
    private val startedAt = clock.now()
    private val own = ownMember(settings, incarnation)
    private val members = MembershipDriver(own, settings.seeds, tuning.membership, routing, startedAt, random, decisions)
    private val configuration = ConfigurationDriver(own, routing, tuning, startedAt, random, decisions)
    private val instances = InstanceListHolder(INSTANCES_PULL_INTERVAL)
    private val configurationFreshness = SourceFreshness()
    private val instanceFreshness = SourceFreshness()
    private val configurationSchedule =
        ReaderSchedule(ReadSubject.CONFIGURATION, own, tuning.configurationReader, startedAt, random)
    private val instanceSchedule = ReaderSchedule(ReadSubject.INSTANCES, own, tuning.instanceReader, startedAt, random)
    private var nextInquiryAt = startedAt

    @Volatile
    private var lastTick = startedAt

    @Volatile
    private var isRefreshing = true

    /** Whether new work must wait; also true after a pause of this process until the next tick. */
    val needsRefresh: Boolean
        get() = isRefreshing || clock.now() - lastTick > tuning.membership.tickInterval + tuning.membership.pauseThreshold

    /** Handles the passing of time; called once per tick interval. */
    @Synchronized
    fun tick(): List<ControlAction> {
        val now = clock.now()
        val actions = members.handle(MembershipEvent.Ticked, now) + members.leaveWhenListed(now)
        members.publishPending(now)
        isRefreshing = members.isRefreshing
        lastTick = now
        return actions + configuration.tick(members.view, now) + startupInquiries()
    }

    /** Handles another node's gossip message. */
    @Synchronized
    fun handleGossip(message: GossipMessage): ReceiveResult {
        val now = clock.now()
        val received = members.receive(message, now)
        return ReceiveResult(received.reply, received.actions + handlePayload(message))
    }

    /** Handles the answer to gossip exchange [number]. */
    @Synchronized
    fun handleExchangeAnswer(
        number: Long,
        message: GossipMessage,
    ): List<ControlAction> = members.handle(MembershipEvent.ExchangeAnswered(number, message), clock.now()) + handlePayload(message)

    /** Handles the failure of gossip exchange [number]. */
    @Synchronized
    fun handleExchangeFailure(number: Long): List<ControlAction> = members.handle(MembershipEvent.ExchangeFailed(number), clock.now())

    /** Handles another node's announcement of its configuration in force. */
    @Synchronized
    fun handleAnnouncement(announcement: ConfigurationAnnouncement): List<ControlAction> {
        val now = clock.now()
        announcement.sourceAgeMilliseconds?.let { configurationFreshness.mergeAge(it.milliseconds, now) }
        return announcement.inForce?.let { configuration.handleAnnouncement(KnownPeer.of(announcement), it, members.view, now) }.orEmpty()
    }

    /** Offers the document in [bytes], which came from [source] with the digest [claimed], if any. */
    @Synchronized
    fun offer(
        bytes: ByteArray,
        source: ConfigurationSource,
        claimed: ConfigurationDigest? = null,
    ): OfferResult = configuration.offer(bytes, source, claimed, members.view, clock.now())

    /** Offers [snapshot], which results from a delta that came from [source]. */
    @Synchronized
    fun offer(
        snapshot: ConfigurationSnapshot,
        source: ConfigurationSource,
    ): OfferResult = configuration.offer(snapshot, source, members.view, clock.now())

    /** Handles the end of the pull from [peer]; no pull from it starts again for [avoidFor]. */
    @Synchronized
    fun pullEnded(
        peer: InstanceName,
        avoidFor: Duration,
    ): List<ControlAction> = configuration.pullEnded(peer, avoidFor, members.view, clock.now())

    /** Returns the transfer for [peer], which holds [peerHeld]. The caller reports its end by [transferEnded]. */
    @Synchronized
    fun transferFor(
        peer: InstanceName,
        peerHeld: ConfigurationDigest?,
    ): TransferDecision = configuration.transferFor(peer, peerHeld, clock.now())

    @Synchronized
    fun transferEnded(peer: InstanceName): Unit = configuration.transferEnded(peer)

    /** Returns the delta from [heldRevision] to the instance list of this node, or null when this node has no list. */
    @Synchronized
    fun instancesFor(heldRevision: Long?): InstanceListTransfer? = instances.transferFor(heldRevision)

    /** Applies an instance list from another node. Returns null when the base of [transfer] is not the list held here. */
    @Synchronized
    fun applyInstances(transfer: InstanceListTransfer): List<ControlAction>? = instances.apply(transfer)?.let { applyList(it) }

    /** Applies the instance list that this node read from the platform. */
    @Synchronized
    fun applyPlatformList(list: PlatformInstanceList): List<ControlAction> = applyList(list)

    /** Returns whether to read [subject] from the platform now. */
    @Synchronized
    fun readDecision(subject: ReadSubject): ReadDecision {
        val now = clock.now()
        return scheduleOf(subject).decide(members.view, freshnessOf(subject).age(now), now)
    }

    /** Returns the version that a document must exceed to end the next watch of the platform. */
    @Synchronized
    fun watchAfter(): Long = configuration.watchAfter(clock.now())

    /** Records that the platform answered a read of [subject]. */
    @Synchronized
    fun recordReadSuccess(subject: ReadSubject) {
        val now = clock.now()
        scheduleOf(subject).succeeded(now)
        freshnessOf(subject).recordAnswer(now)
    }

    /** Records that a read of [subject] failed. The next read waits at least [retryAfter], as the platform asked. */
    @Synchronized
    fun recordReadFailure(
        subject: ReadSubject,
        retryAfter: Duration,
    ): Unit = scheduleOf(subject).failed(clock.now(), members.view, random, retryAfter)

    /** Starts to leave the fleet; [reason] is logged. */
    @Synchronized
    fun leave(reason: String): List<ControlAction> = members.leave(reason, clock.now())

    /** Returns the messages which announce to other nodes that this node stops. */
    @Synchronized
    fun announceStop(): List<ControlAction> = members.handle(MembershipEvent.Stopping, clock.now())

    /** Returns the payload of each gossip message. */
    @Synchronized
    fun payload(): GossipPayload {
        val now = clock.now()
        return GossipPayload(
            configuration = configuration.digest,
            sourceAgeMilliseconds = configurationFreshness.age(now)?.inWholeMilliseconds,
            instancesRevision = instances.revision,
            instancesAgeMilliseconds = instanceFreshness.age(now)?.inWholeMilliseconds,
        )
    }

    /** Returns the announcement of the configuration in force, with [delta] unless that is null. */
    @Synchronized
    fun announcement(delta: String? = null): ConfigurationAnnouncement =
        ConfigurationAnnouncement(
            sender = own.instance,
            dataCentre = own.dataCentre,
            controlAddress = own.controlAddress,
            inForce = configuration.digest,
            sourceAgeMilliseconds = configurationFreshness.age(clock.now())?.inWholeMilliseconds,
            delta = delta,
        )

    /** Returns the status at [now]. */
    @Synchronized
    fun status(
        traffic: ControlTrafficCounts,
        now: Moment,
    ): ControlStatus =
        ControlStatusReport(own, configuration, members, now).create(
            traffic = traffic,
            source = sourceStatus(ReadSubject.CONFIGURATION, now),
            instanceSource = sourceStatus(ReadSubject.INSTANCES, now),
            instancesRevision = instances.revision,
            needsRefresh = needsRefresh,
        )

    private fun sourceStatus(
        subject: ReadSubject,
        now: Moment,
    ): SourceStatus = SourceStatus(freshnessOf(subject).age(now)?.inWholeMilliseconds, scheduleOf(subject).position(members.view))

    private fun applyList(list: PlatformInstanceList): List<ControlAction> {
        instances.update(list)
        return members.applyList(list, clock.now())
    }

    private fun handlePayload(message: GossipMessage): List<ControlAction> {
        val now = clock.now()
        val payload = message.payload
        payload.sourceAgeMilliseconds?.let { configurationFreshness.mergeAge(it.milliseconds, now) }
        payload.instancesAgeMilliseconds?.let { instanceFreshness.mergeAge(it.milliseconds, now) }
        val peer = KnownPeer.ofOrNull(message) ?: return emptyList()
        val pulls = payload.configuration?.let { configuration.handleAnnouncement(peer, it, members.view, now) }.orEmpty()
        val shouldPullList = payload.instancesRevision?.let { instances.shouldPull(it, now) } ?: false
        return if (shouldPullList) pulls + ControlAction.PullInstances(peer.controlAddress, instances.revision) else pulls
    }

    /** Returns announcements that ask some local and some remote peers for their configuration while this node has none in force. */
    private fun startupInquiries(): List<ControlAction> {
        val now = clock.now()
        if (configuration.held != null || now < nextInquiryAt) return emptyList()
        nextInquiryAt = now + if (now < configuration.floorExpiresAt) INQUIRY_INTERVAL else LATE_INQUIRY_INTERVAL
        val others =
            members.view.members
                .filter { it.instance != own.instance && it.state != MemberState.DEAD }
                .shuffled(random)
        val (local, remote) = others.partition { it.dataCentre == own.dataCentre }
        return (local.take(LOCAL_INQUIRIES) + remote.distinctBy(Member::dataCentre).take(REMOTE_INQUIRIES))
            .map { ControlAction.Announce(it.controlAddress, null) }
    }

    private fun scheduleOf(subject: ReadSubject): ReaderSchedule =
        when (subject) {
            ReadSubject.CONFIGURATION -> configurationSchedule
            ReadSubject.INSTANCES -> instanceSchedule
        }

    private fun freshnessOf(subject: ReadSubject): SourceFreshness =
        when (subject) {
            ReadSubject.CONFIGURATION -> configurationFreshness
            ReadSubject.INSTANCES -> instanceFreshness
        }

    private companion object {
        val INSTANCES_PULL_INTERVAL = 1.seconds
        val INQUIRY_INTERVAL = 500.milliseconds
        val LATE_INQUIRY_INTERVAL = 2.seconds
        const val LOCAL_INQUIRIES = 2
        const val REMOTE_INQUIRIES = 2

        fun ownMember(
            settings: NodeSettings,
            incarnation: Incarnation,
        ): Member =
            Member(
                instance = settings.instance,
                service = settings.service,
                dataCentre = settings.dataCentre,
                controlAddress = settings.addresses.control,
                frameAddress = settings.addresses.frames,
                serverAddress = settings.backendServer,
                incarnation = incarnation,
            )
    }
}
