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

/** The decision logic of a few nodes with a pool of undelivered messages, and an oracle that checks the invariants after each step. */
class FuzzedFleet {
    /** One step of the simulation. Indices of documents and messages are taken modulo their count. */
    sealed interface Step {
        /** Publishes a document on the platform, [versionStep] above the highest version so far. A [deadline] of 0 makes it invalid. */
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
            val delivery: Delivery,
        ) : Step

        data class Restart(
            val node: Int,
        ) : Step

        data class AdvanceClock(
            val time: Duration,
        ) : Step
    }

    enum class Delivery { NORMAL, LOST, DUPLICATED, TRUNCATED, CORRUPTED }

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
        val holder = VersionHolder(VersionFloor(startedAt, fleet[index].dataCentre), maximumRememberedEntries = 3)
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
    private val validTexts = mutableSetOf(SampleDocuments.snapshot(1).canonicalText)
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
            is Step.AdvanceClock -> now += step.time
        }
        nodes.forEach { node -> node.holder.onTime(now)?.let { onPutInForce(node, it) } }
        nodes.forEach(::check)
    }

    /** Delivers every message for some rounds, and checks that all nodes converge to the newest version that a node or the platform had. */
    fun healAndCheckConvergence() {
        val newest = maxOf(nodes.maxOf { it.lastVersion }, versionIfValid(published.last()))
        repeat(HEALING_ROUNDS) {
            run(Step.AdvanceClock(31.seconds))
            nodes.indices.forEach { run(Step.Read(it, 0)) }
            for (from in nodes.indices) nodes.indices.filter { it != from }.forEach { run(Step.Gossip(from, it)) }
            while (messages.isNotEmpty()) run(Step.Deliver(0, Delivery.NORMAL))
        }
        val versions = nodes.map { it.lastVersion }.toSet()
        assertEquals(1, versions.size, "all nodes hold the same version")
        assertTrue(versions.single() >= newest, "held $versions, newest $newest")
    }

    private fun publish(step: Step.Publish) {
        val version = highestPublished + step.versionStep
        val text = SampleDocuments.text(version, step.deadline)
        published += text
        highestPublished = maxOf(highestPublished, version)
        ConfigurationParser.parse(text.encodeToByteArray()).onRight { validTexts += it.canonicalText }
    }

    private fun versionIfValid(text: String): Long = ConfigurationParser.parse(text.encodeToByteArray()).fold({ 0L }, { it.digest.version })

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
        when (step.delivery) {
            Delivery.NORMAL -> receive(message)
            Delivery.LOST -> Unit
            Delivery.DUPLICATED -> {
                messages += message
                receive(message)
            }
            Delivery.TRUNCATED -> receive(truncate(message))
            Delivery.CORRUPTED -> receive(corrupt(message))
        }
    }

    private fun truncate(message: Message): Message =
        when (message) {
            is Message.Answer -> message.copy(text = message.text.take(random.nextInt(message.text.length)))
            is Message.PlatformAnswer -> message.copy(text = message.text.take(random.nextInt(message.text.length)))
            is Message.Announcement, is Message.Request -> message
        }

    /** Corrupts a peer's answer but keeps it valid. Platform answers have no hash, so corruption would look like a published change. */
    private fun corrupt(message: Message): Message =
        if (message is Message.Answer) message.copy(text = message.text.replace(":2000", ":2500")) else message

    private fun receive(message: Message) {
        val node = nodes[message.to]
        when (message) {
            is Message.Announcement -> {
                node.holder
                    .reportFloor(
                        FloorReport(fleet[message.from].instance, fleet[message.from].dataCentre, message.digest.version),
                        now,
                    )?.let { onPutInForce(node, it) }
                carryOut(node, node.planner.onAnnouncement(fleet[message.from].instance, message.digest, node.holder, now))
            }
            is Message.Request -> answer(node, message)
            is Message.Answer -> receiveAnswer(node, message)
            is Message.PlatformAnswer ->
                onDecision(
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
            built != null -> onDecision(node, node.holder.offer(built, source, now))
            answer.isDelta -> messages += Message.Request(node.index, answer.from, held = null)
            else -> onDecision(node, node.holder.offer(answer.text.encodeToByteArray(), source, now, answer.target))
        }
        carryOut(node, node.planner.pullEnded(peer, if (built == null) 10.milliseconds else Duration.ZERO, node.holder, now))
    }

    private fun carryOut(
        node: Node,
        decision: SpreadDecision,
    ) {
        when (decision) {
            is SpreadDecision.Pull -> messages += Message.Request(node.index, indexOf(decision.peer), digestOf(node))
            is SpreadDecision.Conflict -> assertEquals(decision.held.version, decision.announced.version)
            SpreadDecision.Nothing -> Unit
        }
    }

    private fun onDecision(
        node: Node,
        decision: OfferDecision,
    ) {
        when (decision) {
            is OfferDecision.InForce -> onPutInForce(node, decision)
            is OfferDecision.ConflictingContent -> assertEquals(decision.held.version, decision.offered.version)
            is OfferDecision.Older -> assertTrue(decision.offered.version < decision.held.version)
            is OfferDecision.AlreadyHeld, is OfferDecision.HeldBelowFloor, is OfferDecision.Refused -> Unit
        }
    }

    private fun onPutInForce(
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
        val isNewer = snapshot.digest.version > node.lastVersion
        assertTrue(
            isNewer || snapshot.digest == node.last,
            "the version decreased or its content changed, from ${node.last} to ${snapshot.digest}",
        )
        assertTrue(snapshot.canonicalText in validTexts, "the configuration in force was never published: ${snapshot.digest}")
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
