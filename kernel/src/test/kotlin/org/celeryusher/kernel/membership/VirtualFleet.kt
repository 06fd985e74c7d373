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

/** What the network between the nodes does; [isCut] tells whether messages from one node to another are lost. */
data class NetworkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val longestDelay: Duration = 5.milliseconds,
    val isCut: (from: Int, to: Int) -> Boolean = { _, _ -> false },
)

/** A few [Membership] machines in virtual time with a queue of messages between them. */
class VirtualFleet(
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
        var machine: Membership,
    ) {
        var isRunning = true
        var pausedUntil = Moment.DISTANT_PAST
        val decisions = mutableListOf<MembershipDecision>()

        fun handle(event: MembershipEvent): List<MembershipDecision> {
            val made = machine.handle(event, now, random)
            made.forEach(::carryOut)
            return made
        }

        private fun carryOut(decision: MembershipDecision) {
            when (decision) {
                is MembershipDecision.StartExchange -> send(this, decision)
                is MembershipDecision.Reply -> Unit
                is MembershipDecision.ViewChanged -> decisions += decision.copy(view = MembershipView.EMPTY)
                else -> decisions += decision
            }
        }
    }

    val random = Random(seed)
    var now = Moment(0)
    var faults = NetworkFaults()

    /** Called with each message that is sent. */
    var observe: (GossipMessage) -> Unit = {}
    private var order = 0L
    private var lives = 1L
    private val queue = PriorityQueue(compareBy(Scheduled::at, Scheduled::order))
    val nodes = (0 until size).map { Node(it, newMachine(it)) }

    init {
        nodes.forEach { tickAfter(it, it.machine, settings.tickInterval * random.nextDouble()) }
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
        val place = member(index).place
        return PlatformInstance(
            name(index),
            place.service,
            place.dataCentre,
            place.controlAddress,
            place.frameAddress,
            place.serverAddress,
            state,
        )
    }

    /** Runs until [duration] has passed, or [until] holds, which is asked every tick interval. */
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
        node.machine = newMachine(index)
        node.isRunning = true
        tickAfter(node, node.machine, settings.tickInterval * random.nextDouble())
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
    ): MemberState? = nodes[observer].machine.view[name(subject)]?.state

    fun running() = nodes.filter { it.isRunning }

    /** Returns whether [observer] holds exactly the running nodes live, in their present lives. */
    fun isRightAt(observer: Int): Boolean =
        nodes.all {
            val seen = nodes[observer].machine.view[name(it.index)]
            val isLive = seen?.state == MemberState.LIVE
            if (it.isRunning) isLive && seen.incarnation == it.machine.incarnation else !isLive
        }

    /** Makes the platform's list with the given states reach every running node; an instance with a null state is not listed. */
    fun list(
        revision: Long,
        stateOf: (index: Int) -> PlatformInstanceState?,
    ) {
        val instances = nodes.mapNotNull { node -> stateOf(node.index)?.let { listed(node.index, it) } }
        running().forEach { it.handle(MembershipEvent.PlatformListed(PlatformInstanceList(revision, instances))) }
    }

    private fun newMachine(index: Int): Membership {
        val self = member(index).copy(incarnation = Incarnation(lives++))
        return Membership(self, if (hasSeeds) SEEDS.filter { it != index }.map { member(it).controlAddress } else emptyList(), settings)
    }

    private fun tickAfter(
        node: Node,
        machine: Membership,
        delay: Duration,
    ): Unit =
        schedule(delay) {
            whenAwake(node) {
                if (node.isRunning && node.machine === machine) {
                    node.handle(MembershipEvent.Ticked)
                    tickAfter(node, machine, settings.tickInterval)
                }
            }
        }

    private fun send(
        origin: Node,
        exchange: MembershipDecision.StartExchange,
    ) {
        observe(exchange.message)
        val machine = origin.machine
        val target =
            nodes[
                exchange.address.host
                    .substringAfterLast('.')
                    .toInt(),
            ]
        val report = { event: MembershipEvent ->
            if (origin.isRunning && origin.machine === machine) origin.handle(event)
        }
        schedule(exchange.timeout) { whenAwake(origin) { report(MembershipEvent.ExchangeFailed(exchange.number)) } }
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
            schedule(faults.longestDelay * random.nextDouble()) { whenAwake(to) { if (to.isRunning) arrival() } }
        }
    }

    /** Runs [action] when [node] is not paused: what came during a pause waits in order, as in a socket's buffer. */
    private fun whenAwake(
        node: Node,
        action: () -> Unit,
    ) {
        if (now >= node.pausedUntil) action() else schedule(node.pausedUntil - now) { whenAwake(node, action) }
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

/** Long enough for a fleet of a few hundred to come together after a start. */
val SETTLING_TIME = 20.seconds
