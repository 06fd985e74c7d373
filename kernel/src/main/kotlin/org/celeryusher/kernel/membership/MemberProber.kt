package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** A probe whose result is not known yet. */
private class PendingProbe(
    val target: InstanceName,
    /** When the direct probe times out and other nodes are asked to probe the target. */
    val relayAt: Moment,
) {
    /** When the probe fails; null until other nodes have been asked to probe the target. */
    var failsAt: Moment? = null
    val relayNumbers = mutableSetOf<Long>()

    /** The nodes that were asked to probe the target and have not returned a result yet. */
    val pendingRelays = mutableSetOf<InstanceName>()
    var negativeResults = 0
}

/** A probe that this node makes for [origin]. */
private class RelayedProbe(
    val origin: InstanceName,
    val target: InstanceName,
)

/**
 * Probes one member after the other in a shuffled round (SWIM, section 4.3), asks other nodes to probe a member that does not answer
 * (indirect probes), and makes such probes for other nodes.
 *
 * The functions that end probes return the members whose probes failed; the caller suspects them.
 */
internal class MemberProber(
    private val settings: MembershipSettings,
    private val self: SelfMember,
    private val table: MemberTable,
    private val exchanges: ExchangeFactory,
    private val health: LocalHealth,
) {
    private val round = ArrayDeque<InstanceName>()
    private val pending = mutableMapOf<Long, PendingProbe>()
    private val relayedProbes = mutableMapOf<Long, RelayedProbe>()
    private var nextProbeAt = Moment.DISTANT_PAST
    private var nextDeadProbeAt = Moment.DISTANT_PAST

    /** Ends and starts the probes that are due at the time of [context]; returns the members whose probes failed. */
    fun tick(context: EventContext): List<MemberRecord> {
        for (probe in pending.values.toList()) {
            if (probe.failsAt == null && context.now >= probe.relayAt) requestRelayedProbes(probe, context)
        }
        val failed = pending.filterValues { probe -> probe.failsAt?.let { context.now >= it } == true }.keys.toList()
        val suspects = failed.mapNotNull { failProbe(it) }
        startProbe(context)
        startDeadProbe(context)
        return suspects
    }

    /**
     * Handles the answer of [answerer] to exchange [number].
     *
     * It ends the probe that the exchange belongs to, or sends the result to the node that requested the probe.
     */
    fun handleAnswer(
        number: Long,
        answerer: InstanceName,
        context: EventContext,
    ) {
        val probe = pending[number]
        if (probe != null && probe.target == answerer) {
            pending.remove(number)
            health.improve()
        }
        val relayedProbe = relayedProbes.remove(number) ?: return
        sendResult(relayedProbe, relayedProbe.target == answerer, context)
    }

    /** Handles the failure of exchange [number]: asks other nodes to probe, or sends the result to the node that requested the probe. */
    fun handleFailure(
        number: Long,
        context: EventContext,
    ) {
        relayedProbes.remove(number)?.let { sendResult(it, false, context) }
        val direct = pending[number]
        if (direct != null && direct.failsAt == null) requestRelayedProbes(direct, context)
    }

    /** Handles the result from [relay]; returns the target if this was the last result and no node reached it, otherwise null. */
    fun handleRelayedResult(
        result: RelayedResult,
        relay: InstanceName,
    ): MemberRecord? {
        val (number, probe) =
            pending.entries.firstOrNull { it.value.target == result.target && relay in it.value.pendingRelays }
                ?: return null
        probe.pendingRelays -= relay
        if (result.answered) {
            pending.remove(number)
            return null
        }
        probe.negativeResults++
        return if (probe.pendingRelays.isEmpty()) failProbe(number) else null
    }

    /** Probes the target of [request] for [origin], unless [MembershipSettings.relayLimit] such probes run. */
    fun probeFor(
        origin: InstanceName,
        request: RelayRequest,
        context: EventContext,
    ) {
        if (relayedProbes.size >= settings.relayLimit || request.target == self.instance) return
        val address = (table[request.target]?.metadata ?: request.metadata).controlAddress
        val exchange = exchanges.create(request.target, address, settings.relayTimeout, ExchangePurpose.RELAYED_PROBE)
        relayedProbes[exchange.number] = RelayedProbe(origin, request.target)
        context += exchange
    }

    /** Probes [target] outside the round, unless it is dead or already being probed, or [MembershipSettings.relayLimit] probes run. */
    fun probeNow(
        target: MemberRecord,
        context: EventContext,
    ) {
        val isProbed = pending.values.any { it.target == target.instance }
        if (target.state != MemberState.DEAD && !isProbed && pending.size < settings.relayLimit) probe(target, context)
    }

    /** Abandons all running probes; called after a pause of this process, during which their timeouts passed. */
    fun clearProbes(now: Moment) {
        pending.clear()
        relayedProbes.clear()
        nextProbeAt = now
    }

    private fun startProbe(context: EventContext) {
        if (context.now < nextProbeAt) return
        val target = nextTarget(context) ?: return
        nextProbeAt = context.now + settings.probeInterval * health.multiplier
        probe(target, context)
    }

    private fun probe(
        target: MemberRecord,
        context: EventContext,
    ) {
        val timeout = settings.probeTimeout * health.multiplier
        val exchange = exchanges.create(target.instance, target.metadata.controlAddress, timeout, ExchangePurpose.PROBE)
        pending[exchange.number] = PendingProbe(target.instance, relayAt = context.now + timeout)
        context += exchange
    }

    private fun nextTarget(context: EventContext): MemberRecord? {
        if (round.isEmpty()) {
            round +=
                table.all
                    .filter { it.state != MemberState.DEAD }
                    .map { it.instance }
                    .shuffled(context.random)
        }
        while (round.isNotEmpty()) {
            val record = table[round.removeFirst()]
            if (record != null && record.state != MemberState.DEAD) return record
        }
        return null
    }

    private fun startDeadProbe(context: EventContext) {
        if (context.now < nextDeadProbeAt) return
        nextDeadProbeAt = context.now + settings.deadProbeInterval
        val target = table.all.filter { it.state == MemberState.DEAD }.randomOrNull(context.random) ?: return
        context += exchanges.create(target.instance, target.metadata.controlAddress, settings.probeTimeout, ExchangePurpose.DEAD_PROBE)
    }

    private fun requestRelayedProbes(
        probe: PendingProbe,
        context: EventContext,
    ) {
        probe.failsAt = context.now + settings.relayWait * health.multiplier
        val target = table[probe.target] ?: return
        val relays =
            table.all
                .filter { it.state == MemberState.LIVE && it.instance != probe.target }
                .shuffled(context.random)
                .take(settings.relayCount)
        for (relay in relays) {
            val request = RelayRequest(target.instance, target.metadata)
            probe.pendingRelays += relay.instance
            context +=
                exchanges.create(relay.instance, relay.metadata.controlAddress, settings.relayTimeout, ExchangePurpose.PROBE_THROUGH) {
                    copy(relayRequest = request)
                }
        }
    }

    /**
     * Ends a probe as failed.
     *
     * If no relay reported a failure, or if more relays returned no result than reported a failure, the fault may lie in this node's own
     * connection, and its health worsens.
     */
    private fun failProbe(number: Long): MemberRecord? {
        val probe = pending.remove(number) ?: return null
        if (probe.negativeResults == 0 || probe.pendingRelays.size > probe.negativeResults) health.worsen()
        return table[probe.target]?.takeIf { it.state != MemberState.DEAD }
    }

    private fun sendResult(
        relayedProbe: RelayedProbe,
        answered: Boolean,
        context: EventContext,
    ) {
        val origin = table[relayedProbe.origin] ?: return
        context +=
            exchanges.create(origin.instance, origin.metadata.controlAddress, settings.relayTimeout, ExchangePurpose.GOSSIP) {
                copy(relayedResults = listOf(RelayedResult(relayedProbe.target, answered)))
            }
    }
}
