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
 * All state machines of one node's control work behind one lock, which is never held during I/O.
 *
 * Each function takes in one event and returns what is to be sent because of it.
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
    private val members = MemberKeeper(own, settings.seeds, tuning.membership, routing, startedAt, random, decisions)
    private val configuration = ConfigurationKeeper(own, routing, tuning, startedAt, random, decisions)
    private val instances = InstanceListHolder(INSTANCES_PULL_INTERVAL)
    private val configurationNews = SourceFreshness()
    private val instanceNews = SourceFreshness()
    private val configurationSchedule =
        ReaderSchedule(ReadSubject.CONFIGURATION, own, tuning.configurationReader, startedAt, random)
    private val instanceSchedule = ReaderSchedule(ReadSubject.INSTANCES, own, tuning.instanceReader, startedAt, random)
    private var nextInquiryAt = startedAt

    @Volatile
    private var lastTick = startedAt

    @Volatile
    private var isRefreshing = true

    /** Whether new work must wait, also when this process was paused just now and has not ticked since. */
    val needsRefresh: Boolean
        get() = isRefreshing || clock.now() - lastTick > tuning.membership.tickInterval + tuning.membership.pauseThreshold

    /** Takes in that time has passed. */
    @Synchronized
    fun tick(): List<ControlAction> {
        val now = clock.now()
        val actions = members.handle(MembershipEvent.Ticked, now) + members.leaveWhenListed(now)
        members.publishPending(now)
        isRefreshing = members.isRefreshing
        lastTick = now
        return actions + configuration.tick(members.view, now) + inquiries()
    }

    /** Takes in another node's gossip message. */
    @Synchronized
    fun received(message: GossipMessage): Received {
        val now = clock.now()
        val received = members.receive(message, now)
        return Received(received.reply, received.actions + takeExtra(message))
    }

    /** Takes in the answer to gossip exchange [number]. */
    @Synchronized
    fun answered(
        number: Long,
        message: GossipMessage,
    ): List<ControlAction> = members.handle(MembershipEvent.ExchangeAnswered(number, message), clock.now()) + takeExtra(message)

    /** Takes in that gossip exchange [number] failed. */
    @Synchronized
    fun failed(number: Long): List<ControlAction> = members.handle(MembershipEvent.ExchangeFailed(number), clock.now())

    /** Takes in what another node has in force. */
    @Synchronized
    fun announced(news: ConfigurationNews): List<ControlAction> {
        val now = clock.now()
        news.sourceAgeMilliseconds?.let { configurationNews.mergeAge(it.milliseconds, now) }
        return news.inForce?.let { configuration.announced(KnownPeer.of(news), it, members.view, now) }.orEmpty()
    }

    /** Takes in the bytes of a document. */
    @Synchronized
    fun offer(
        bytes: ByteArray,
        source: ConfigurationSource,
        claimed: ConfigurationDigest? = null,
    ): Offered = configuration.offer(bytes, source, claimed, members.view, clock.now())

    /** Takes in a snapshot that a delta led to. */
    @Synchronized
    fun offer(
        snapshot: ConfigurationSnapshot,
        source: ConfigurationSource,
    ): Offered = configuration.offer(snapshot, source, members.view, clock.now())

    /** Takes in that the pull from [peer] ended. */
    @Synchronized
    fun pullEnded(
        peer: InstanceName,
        avoidFor: Duration,
    ): List<ControlAction> = configuration.pullEnded(peer, avoidFor, members.view, clock.now())

    /** Returns what to send to [peer], which holds [peerHeld]; report the end by [transferEnded]. */
    @Synchronized
    fun transferFor(
        peer: InstanceName,
        peerHeld: ConfigurationDigest?,
    ): TransferDecision = configuration.transferFor(peer, peerHeld, clock.now())

    @Synchronized
    fun transferEnded(peer: InstanceName): Unit = configuration.transferEnded(peer)

    /** Returns the part of the instance list that a node with [heldRevision] lacks, or null when there is no list. */
    @Synchronized
    fun instancesFor(heldRevision: Long?): InstanceListTransfer? = instances.transferFor(heldRevision)

    /** Takes in another node's instance list; null when it does not fit the list held here. */
    @Synchronized
    fun takeInstances(transfer: InstanceListTransfer): List<ControlAction>? = instances.apply(transfer)?.let { take(it) }

    /** Takes in the instance list that the platform gave to this node. */
    @Synchronized
    fun takeListed(list: PlatformInstanceList): List<ControlAction> = take(list)

    /** Returns whether to read [subject] from the platform now. */
    @Synchronized
    fun readDecision(subject: ReadSubject): ReadDecision {
        val now = clock.now()
        return scheduleOf(subject).decide(members.view, newsOf(subject).age(now), now)
    }

    /** Returns the version after which a watch of the platform shall wait. */
    @Synchronized
    fun watchAfter(): Long = configuration.watchAfter(clock.now())

    /** Takes in that the platform answered a read of [subject]. */
    @Synchronized
    fun readSucceeded(subject: ReadSubject) {
        val now = clock.now()
        scheduleOf(subject).succeeded(now)
        newsOf(subject).recordAnswer(now)
    }

    /** Takes in that a read of [subject] failed. */
    @Synchronized
    fun readFailed(
        subject: ReadSubject,
        retryAfter: Duration,
    ): Unit = scheduleOf(subject).failed(clock.now(), members.view, random, retryAfter)

    /** Starts to leave for [reason]. */
    @Synchronized
    fun leave(reason: String): List<ControlAction> = members.leave(reason, clock.now())

    /** Takes in that this node is about to stop. */
    @Synchronized
    fun stopping(): List<ControlAction> = members.handle(MembershipEvent.Stopping, clock.now())

    /** Returns what goes along with each gossip message. */
    @Synchronized
    fun payload(): GossipPayload {
        val now = clock.now()
        return GossipPayload(
            configuration = configuration.digest,
            sourceAgeMilliseconds = configurationNews.age(now)?.inWholeMilliseconds,
            instancesRevision = instances.revision,
            instancesAgeMilliseconds = instanceNews.age(now)?.inWholeMilliseconds,
        )
    }

    /** Returns what this node tells of its configuration. */
    @Synchronized
    fun news(delta: String? = null): ConfigurationNews =
        ConfigurationNews(
            sender = own.instance,
            dataCentre = own.dataCentre,
            controlAddress = own.controlAddress,
            inForce = configuration.digest,
            sourceAgeMilliseconds = configurationNews.age(clock.now())?.inWholeMilliseconds,
            delta = delta,
        )

    /** Returns what `status` shows. */
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
    ): SourceStatus = SourceStatus(newsOf(subject).age(now)?.inWholeMilliseconds, scheduleOf(subject).position(members.view))

    private fun take(list: PlatformInstanceList): List<ControlAction> {
        instances.take(list)
        return members.takeList(list, clock.now())
    }

    private fun takeExtra(message: GossipMessage): List<ControlAction> {
        val now = clock.now()
        val payload = message.payload
        payload.sourceAgeMilliseconds?.let { configurationNews.mergeAge(it.milliseconds, now) }
        payload.instancesAgeMilliseconds?.let { instanceNews.mergeAge(it.milliseconds, now) }
        val peer = KnownPeer.ofOrNull(message) ?: return emptyList()
        val pulls = payload.configuration?.let { configuration.announced(peer, it, members.view, now) }.orEmpty()
        val wantsList = payload.instancesRevision?.let { instances.wants(it, now) } ?: false
        return if (wantsList) pulls + ControlAction.PullInstances(peer.controlAddress, instances.revision) else pulls
    }

    /** Asks some peers of the own and of other data centres what they have in force, as long as this node has nothing. */
    private fun inquiries(): List<ControlAction> {
        val now = clock.now()
        if (configuration.held != null || now < nextInquiryAt) return emptyList()
        nextInquiryAt = now + if (now < configuration.floorExpiresAt) INQUIRY_INTERVAL else LATE_INQUIRY_INTERVAL
        val others =
            members.view.members
                .filter { it.instance != own.instance && it.state != MemberState.DEAD }
                .shuffled(random)
        val (near, far) = others.partition { it.dataCentre == own.dataCentre }
        return (near.take(INQUIRIES_NEAR) + far.distinctBy(Member::dataCentre).take(INQUIRIES_FAR))
            .map { ControlAction.Announce(it.controlAddress, null) }
    }

    private fun scheduleOf(subject: ReadSubject): ReaderSchedule =
        when (subject) {
            ReadSubject.CONFIGURATION -> configurationSchedule
            ReadSubject.INSTANCES -> instanceSchedule
        }

    private fun newsOf(subject: ReadSubject): SourceFreshness =
        when (subject) {
            ReadSubject.CONFIGURATION -> configurationNews
            ReadSubject.INSTANCES -> instanceNews
        }

    private companion object {
        val INSTANCES_PULL_INTERVAL = 1.seconds
        val INQUIRY_INTERVAL = 500.milliseconds
        val LATE_INQUIRY_INTERVAL = 2.seconds
        const val INQUIRIES_NEAR = 2
        const val INQUIRIES_FAR = 2

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
