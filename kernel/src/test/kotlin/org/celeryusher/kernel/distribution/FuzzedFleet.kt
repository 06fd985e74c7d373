package org.celeryusher.kernel.distribution

import arrow.core.flatMap
import org.celeryusher.kernel.configuration.ConfigurationDelta
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.SampleDocuments
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A few nodes' decisions with a bag of messages between them, and the oracle that checks them after each step. */
class FuzzedFleet {
    /** One thing that happens; numbers choose among what is there, modulo its count. */
    sealed interface Step {
        /** Puts a document on the platform, [versionStep] above the highest version so far; a [deadline] of 0 is a fault. */
        data class Publish(
            val versionStep: Long,
            val deadline: Long,
        ) : Step

        data class Read(
            val node: Int,
            val document: Int,
        ) : Step

        data class Gossip(
            val from: Int,
            val to: Int,
        ) : Step

        data class Deliver(
            val message: Int,
            val fate: Fate,
        ) : Step

        data class Restart(
            val node: Int,
        ) : Step

        data class Pass(
            val time: Duration,
        ) : Step
    }

    enum class Fate { ARRIVES, IS_LOST, ARRIVES_TWICE, IS_CUT, IS_ALTERED }

    private sealed interface Message {
        val to: Int

        data class Announcement(
            val from: Int,
            override val to: Int,
            val digest: ConfigurationDigest,
        ) : Message

        data class Request(
            val from: Int,
            override val to: Int,
            val held: ConfigurationDigest?,
        ) : Message

        data class Answer(
            val from: Int,
            override val to: Int,
            val target: ConfigurationDigest,
            val text: String,
            val isDelta: Boolean,
        ) : Message

        data class PlatformAnswer(
            override val to: Int,
            val text: String,
        ) : Message
    }

    private inner class Node(
        val index: Int,
        startedAt: Moment,
    ) {
        val holder = VersionHolder(VersionFloor(startedAt, fleet[index].dataCentre), memoryLimit = 3)
        val planner = SpreadPlanner(fleet[index])
        val transfers = TransferPlanner(SpreadSettings(deltaBases = 2))
        var last: ConfigurationDigest? = null
        val lastVersion: Long get() = last?.version ?: 0
    }

    private val random = Random(4)
    private val fleet = members(NODES, dataCentres = 2)
    private val view = MembershipView(fleet)
    private val messages = mutableListOf<Message>()
    private val published = mutableListOf(SampleDocuments.text(1))
    private val acceptable = mutableSetOf(SampleDocuments.snapshot(1).canonicalText)
    private var highestPublished = 1L
    private var now = START
    private val nodes = MutableList(NODES) { Node(it, now) }

    fun run(step: Step) {
        when (step) {
            is Step.Publish -> publish(step)
            is Step.Read -> messages += Message.PlatformAnswer(step.node, published[published.lastIndex - step.document % published.size])
            is Step.Gossip -> announce(step.from, step.to)
            is Step.Deliver -> deliver(step)
            is Step.Restart -> nodes[step.node] = Node(step.node, now)
            is Step.Pass -> now += step.time
        }
        nodes.forEach { node -> node.holder.onTime(now)?.let { taken(node, it) } }
        nodes.forEach(::check)
    }

    /** Lets everything arrive for a while, and checks that all nodes end with the newest version that one had or the platform has. */
    fun heal() {
        val newest = maxOf(nodes.maxOf { it.lastVersion }, acceptedVersion(published.last()))
        repeat(HEALING_ROUNDS) {
            run(Step.Pass(31.seconds))
            nodes.indices.forEach { run(Step.Read(it, 0)) }
            for (from in nodes.indices) nodes.indices.filter { it != from }.forEach { run(Step.Gossip(from, it)) }
            while (messages.isNotEmpty()) run(Step.Deliver(0, Fate.ARRIVES))
        }
        val versions = nodes.map { it.lastVersion }.toSet()
        assertEquals(1, versions.size, "all nodes hold one version")
        assertTrue(versions.single() >= newest, "held $versions, newest $newest")
    }

    private fun publish(step: Step.Publish) {
        val version = highestPublished + step.versionStep
        val text = SampleDocuments.text(version, step.deadline)
        published += text
        highestPublished = maxOf(highestPublished, version)
        ConfigurationParser.parse(text.encodeToByteArray()).onRight { acceptable += it.canonicalText }
    }

    private fun acceptedVersion(text: String): Long =
        ConfigurationParser.parse(text.encodeToByteArray()).fold({ 0L }, { it.digest.version })

    private fun announce(
        from: Int,
        to: Int,
    ) {
        val digest = digestOf(nodes[from]) ?: return
        if (from != to) messages += Message.Announcement(from, to, digest)
    }

    private fun deliver(step: Step.Deliver) {
        if (messages.isEmpty()) return
        val message = messages.removeAt(step.message % messages.size)
        when (step.fate) {
            Fate.ARRIVES -> receive(message)
            Fate.IS_LOST -> Unit
            Fate.ARRIVES_TWICE -> {
                messages += message
                receive(message)
            }
            Fate.IS_CUT -> receive(cut(message))
            Fate.IS_ALTERED -> receive(altered(message))
        }
    }

    private fun cut(message: Message): Message =
        when (message) {
            is Message.Answer -> message.copy(text = message.text.take(random.nextInt(message.text.length)))
            is Message.PlatformAnswer -> message.copy(text = message.text.take(random.nextInt(message.text.length)))
            is Message.Announcement, is Message.Request -> message
        }

    /** Damages an answer of a peer so that it stays valid. The platform's answers name no hash, so nothing can tell that from a change. */
    private fun altered(message: Message): Message =
        if (message is Message.Answer) message.copy(text = message.text.replace(":2000", ":2500")) else message

    private fun receive(message: Message) {
        val node = nodes[message.to]
        when (message) {
            is Message.Announcement -> {
                node.holder
                    .reportFloor(
                        FloorReport(fleet[message.from].instance, fleet[message.from].dataCentre, message.digest.version),
                        now,
                    )?.let { taken(node, it) }
                follow(node, node.planner.onAnnouncement(fleet[message.from].instance, message.digest, node.holder, now))
            }
            is Message.Request -> answer(node, message)
            is Message.Answer -> receiveAnswer(node, message)
            is Message.PlatformAnswer ->
                decided(
                    node,
                    node.holder.offer(message.text.encodeToByteArray(), ConfigurationSource.Platform, now),
                )
        }
    }

    private fun answer(
        node: Node,
        request: Message.Request,
    ) {
        val peer = fleet[request.from].instance
        when (val decision = node.transfers.answer(peer, request.held, now)) {
            is TransferDecision.Delta ->
                messages +=
                    Message.Answer(node.index, request.from, decision.target, decision.text, isDelta = true)
            is TransferDecision.Whole ->
                messages +=
                    Message.Answer(node.index, request.from, decision.target, decision.text, isDelta = false)
            is TransferDecision.Busy, TransferDecision.Nothing -> Unit
        }
        node.transfers.ended(peer)
    }

    private fun receiveAnswer(
        node: Node,
        answer: Message.Answer,
    ) {
        val peer = fleet[answer.from].instance
        val source = ConfigurationSource.Peer(peer)
        val held = node.holder.current?.snapshot
        val built =
            if (answer.isDelta &&
                held != null
            ) {
                ConfigurationDelta.parse(answer.text).flatMap { it.applyTo(held) }.getOrNull()
            } else {
                null
            }
        when {
            built != null -> decided(node, node.holder.offer(built, source, now))
            answer.isDelta -> messages += Message.Request(node.index, answer.from, held = null)
            else -> decided(node, node.holder.offer(answer.text.encodeToByteArray(), source, now, answer.target))
        }
        follow(node, node.planner.pullEnded(peer, if (built == null) 10.milliseconds else Duration.ZERO, node.holder, now))
    }

    private fun follow(
        node: Node,
        decision: SpreadDecision,
    ) {
        when (decision) {
            is SpreadDecision.Pull -> messages += Message.Request(node.index, indexOf(decision.peer), digestOf(node))
            is SpreadDecision.Conflict -> assertEquals(decision.held.version, decision.announced.version)
            SpreadDecision.Nothing -> Unit
        }
    }

    private fun decided(
        node: Node,
        decision: OfferDecision,
    ) {
        when (decision) {
            is OfferDecision.InForce -> taken(node, decision)
            is OfferDecision.ConflictingContent -> assertEquals(decision.held.version, decision.offered.version)
            is OfferDecision.Older -> assertTrue(decision.offered.version < decision.held.version)
            is OfferDecision.AlreadyHeld, is OfferDecision.HeldBelowFloor, is OfferDecision.Refused -> Unit
        }
    }

    private fun taken(
        node: Node,
        decision: OfferDecision.InForce,
    ) {
        node.transfers.inForce(decision.held.snapshot)
        node.planner
            .pushTargets(decision.held.snapshot.digest, decision.held.source, view, random)
            .forEach { announce(node.index, indexOf(it.instance)) }
    }

    private fun check(node: Node) {
        val snapshot = node.holder.current?.snapshot ?: return
        val rose = snapshot.digest.version > node.lastVersion
        assertTrue(
            rose || snapshot.digest == node.last,
            "a version went back, or its content changed, from ${node.last} to ${snapshot.digest}",
        )
        assertTrue(snapshot.canonicalText in acceptable, "in force is what nobody published: ${snapshot.digest}")
        node.last = snapshot.digest
    }

    private fun digestOf(node: Node): ConfigurationDigest? =
        node.holder.current
            ?.snapshot
            ?.digest

    private fun indexOf(instance: InstanceName): Int = instance.value.drop(1).toInt()

    companion object {
        const val NODES = 5
        private const val HEALING_ROUNDS = 3
    }
}
