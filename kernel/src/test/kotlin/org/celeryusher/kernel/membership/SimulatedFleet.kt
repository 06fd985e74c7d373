package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The faults of the simulated network; [isCut] returns whether all messages from one node to another are lost. */
data class NetworkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val longestDelay: Duration = 5.milliseconds,
    val isCut: (from: Int, to: Int) -> Boolean = { _, _ -> false },
)

/** A simulated fleet: several [Membership] state machines in virtual time, connected by a queue of messages. */
class SimulatedFleet(
    val size: Int,
    seed: Long,
    private val hasSeeds: Boolean = true,
    private val settings: MembershipSettings = MembershipSettings(),
) {
    private class Scheduled(
        val at: Moment,
        val order: Long,
        val action: () -> Unit,
    )

    inner class Node(
        val index: Int,
        var membership: Membership,
    ) {
        var isRunning = true
        var pausedUntil = Moment.DISTANT_PAST
        val recordedDecisions = mutableListOf<MembershipDecision>()

        fun handle(event: MembershipEvent): List<MembershipDecision> {
            val decisions = membership.handle(event, now, random)
            decisions.forEach(::execute)
            return decisions
        }

        private fun execute(decision: MembershipDecision) {
            when (decision) {
                is MembershipDecision.StartExchange -> send(this, decision)
                is MembershipDecision.Reply -> Unit
                is MembershipDecision.ViewChanged -> recordedDecisions += decision.copy(view = MembershipView.EMPTY)
                else -> recordedDecisions += decision
            }
        }
    }

    val random = Random(seed)
    var now = Moment(0)
    var faults = NetworkFaults()

    /** Called with each message that is sent. */
    var observe: (GossipMessage) -> Unit = {}
    private var order = 0L
    private var nextStart = 1L
    private val queue = PriorityQueue(compareBy(Scheduled::at, Scheduled::order))
    val nodes = (0 until size).map { Node(it, newMembership(it)) }

    init {
        nodes.forEach { tickAfter(it, it.membership, settings.tickInterval * random.nextDouble()) }
    }

    fun name(index: Int) = InstanceName("node-$index")

    fun member(index: Int) =
        Member(
            name(index),
            ServiceName(if (index % SERVICE_PATTERN < LARGE_SERVICE_SHARE) "billing-desk" else "records-hub"),
            DataCentreName("antwerp-${index % DATA_CENTRES}"),
            Address("10.0.0.$index", CONTROL_PORT),
            Address("10.0.0.$index", CONTROL_PORT + 1),
            Address("10.0.0.$index", CONTROL_PORT + 2),
        )

    fun listed(
        index: Int,
        state: PlatformInstanceState,
    ): PlatformInstance {
        val metadata = member(index).metadata
        return PlatformInstance(
            name(index),
            metadata.service,
            metadata.dataCentre,
            metadata.controlAddress,
            metadata.frameAddress,
            metadata.serverAddress,
            state,
        )
    }

    /** Runs until [duration] has passed or [until] returns true, which is checked twice per tick interval; returns the time that passed. */
    fun run(
        duration: Duration,
        until: () -> Boolean = { false },
    ): Duration {
        val start = now
        while (now - start < duration && !until()) {
            val sliceEnd = now + settings.tickInterval / 2
            while (queue.isNotEmpty() && queue.peek().at <= sliceEnd) {
                val next = queue.poll()
                now = maxOf(now, next.at)
                next.action()
            }
            now = sliceEnd
        }
        return now - start
    }

    fun restart(index: Int) {
        val node = nodes[index]
        node.membership = newMembership(index)
        node.isRunning = true
        tickAfter(node, node.membership, settings.tickInterval * random.nextDouble())
    }

    fun pause(
        index: Int,
        duration: Duration,
    ) {
        nodes[index].pausedUntil = now + duration
    }

    fun stateSeenBy(
        observer: Int,
        subject: Int,
    ): MemberState? = nodes[observer].membership.view[name(subject)]?.state

    fun running() = nodes.filter { it.isRunning }

    /** Returns whether exactly the running nodes are live in the view of [observer], with their present incarnations. */
    fun isAccurateAt(observer: Int): Boolean =
        nodes.all {
            val seen = nodes[observer].membership.view[name(it.index)]
            val isLive = seen?.state == MemberState.LIVE
            if (it.isRunning) isLive && seen.incarnation == it.membership.incarnation else !isLive
        }

    /** Delivers a list of the platform with the given states to every running node; an instance with a null state is not listed. */
    fun publishList(
        revision: Long,
        stateOf: (index: Int) -> PlatformInstanceState?,
    ) {
        val instances = nodes.mapNotNull { node -> stateOf(node.index)?.let { listed(node.index, it) } }
        running().forEach { it.handle(MembershipEvent.PlatformListed(PlatformInstanceList(revision, instances))) }
    }

    private fun newMembership(index: Int): Membership {
        val self = member(index).copy(incarnation = Incarnation(nextStart++))
        return Membership(self, if (hasSeeds) SEEDS.filter { it != index }.map { member(it).controlAddress } else emptyList(), settings)
    }

    private fun tickAfter(
        node: Node,
        membership: Membership,
        delay: Duration,
    ): Unit =
        schedule(delay) {
            runWhenAwake(node) {
                if (node.isRunning && node.membership === membership) {
                    node.handle(MembershipEvent.Ticked)
                    tickAfter(node, membership, settings.tickInterval)
                }
            }
        }

    private fun send(
        origin: Node,
        exchange: MembershipDecision.StartExchange,
    ) {
        observe(exchange.message)
        val membership = origin.membership
        val target =
            nodes[
                exchange.address.host
                    .substringAfterLast('.')
                    .toInt(),
            ]
        val report = { event: MembershipEvent ->
            if (origin.isRunning && origin.membership === membership) origin.handle(event)
        }
        schedule(exchange.timeout) { runWhenAwake(origin) { report(MembershipEvent.ExchangeFailed(exchange.number)) } }
        transmit(origin, target) {
            val replies = target.handle(MembershipEvent.MessageReceived(exchange.message)).filterIsInstance<MembershipDecision.Reply>()
            val reply = replies.single().message
            observe(reply)
            transmit(target, origin) { report(MembershipEvent.ExchangeAnswered(exchange.number, reply)) }
        }
    }

    private fun transmit(
        from: Node,
        to: Node,
        arrival: () -> Unit,
    ) {
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        repeat(copies) {
            if (random.nextDouble() < faults.loss || faults.isCut(from.index, to.index)) return@repeat
            schedule(faults.longestDelay * random.nextDouble()) { runWhenAwake(to) { if (to.isRunning) arrival() } }
        }
    }

    /** Runs [action] once [node] is not paused. Messages that arrive during a pause wait in order, as in a socket buffer. */
    private fun runWhenAwake(
        node: Node,
        action: () -> Unit,
    ) {
        if (now >= node.pausedUntil) action() else schedule(node.pausedUntil - now) { runWhenAwake(node, action) }
    }

    private fun schedule(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue += Scheduled(now + delay, order++, action)
    }

    private companion object {
        const val CONTROL_PORT = 7400
        const val SERVICE_PATTERN = 13
        const val LARGE_SERVICE_SHARE = 9
        const val DATA_CENTRES = 4
        val SEEDS = 0..2
    }
}

/** Long enough for a fleet of a few hundred nodes to converge after a start. */
val SETTLING_TIME = 20.seconds
