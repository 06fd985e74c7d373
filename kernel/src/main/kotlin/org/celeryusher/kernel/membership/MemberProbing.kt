package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment

/** A probe that has not ended yet. */
private class PendingProbe(
    val target: InstanceName,
    /** When other nodes are asked to probe the target. */
    val relayAt: Moment,
) {
    /** When the probe fails; null until other nodes are asked. */
    var failsAt: Moment? = null
    val relayNumbers = mutableSetOf<Long>()

    /** The nodes that were asked and gave no result yet. */
    val silentRelays = mutableSetOf<InstanceName>()
    var negativeResults = 0
}

/** A probe made for another node. */
private class ProbeForOther(
    val origin: InstanceName,
    val target: InstanceName,
)

/**
 * Probes one member at a time in a shuffled round (SWIM, section 4.3), asks others when it does not answer, and probes for others.
 *
 * Returns members whose probe failed to its caller, which suspects them.
 */
internal class MemberProbing(
    private val settings: MembershipSettings,
    private val self: SelfMember,
    private val table: MemberTable,
    private val correspondence: Correspondence,
    private val health: LocalHealth,
) {
    private val round = ArrayDeque<InstanceName>()
    private val pending = mutableMapOf<Long, PendingProbe>()
    private val forOthers = mutableMapOf<Long, ProbeForOther>()
    private var nextProbeAt = Moment.DISTANT_PAST
    private var nextDeadProbeAt = Moment.DISTANT_PAST

    /** Advances the probes to the step's time; returns the members whose probes failed. */
    fun tick(step: Step): List<MemberRecord> {
        for (probe in pending.values.toList()) {
            if (probe.failsAt == null && step.now >= probe.relayAt) askRelays(probe, step)
        }
        val failed = pending.filterValues { probe -> probe.failsAt?.let { step.now >= it } == true }.keys.toList()
        val suspects = failed.mapNotNull { endAsFailed(it) }
        startProbe(step)
        startDeadProbe(step)
        return suspects
    }

    /** Ends the probe, direct or through others, that [number] belongs to, because [answerer] answered; passes the result on when asked to. */
    fun answered(
        number: Long,
        answerer: InstanceName,
        step: Step,
    ) {
        val probe = pending[number]
        if (probe != null && probe.target == answerer) {
            pending.remove(number)
            health.improve()
        }
        val errand = forOthers.remove(number) ?: return
        reportTo(errand, errand.target == answerer, step)
    }

    /** Handles the failure of exchange [number]: others are asked to probe, or the result is passed on. */
    fun failed(
        number: Long,
        step: Step,
    ) {
        forOthers.remove(number)?.let { reportTo(it, false, step) }
        val direct = pending[number]
        if (direct != null && direct.failsAt == null) askRelays(direct, step)
    }

    /** Takes in what [relay] found; returns the member whose probe failed because nobody could reach it, if so. */
    fun relayed(
        result: RelayedResult,
        relay: InstanceName,
    ): MemberRecord? {
        val (number, probe) =
            pending.entries.firstOrNull { it.value.target == result.target && relay in it.value.silentRelays }
                ?: return null
        probe.silentRelays -= relay
        if (result.answered) {
            pending.remove(number)
            return null
        }
        probe.negativeResults++
        return if (probe.silentRelays.isEmpty()) endAsFailed(number) else null
    }

    /** Probes the target of [request] for [origin], unless too many such probes run. */
    fun probeFor(
        origin: InstanceName,
        request: RelayRequest,
        step: Step,
    ) {
        if (forOthers.size >= settings.relayLimit || request.target == self.instance) return
        val address = (table[request.target]?.place ?: request.place).controlAddress
        val exchange = correspondence.exchange(request.target, address, settings.relayTimeout, ExchangePurpose.RELAYED_PROBE)
        forOthers[exchange.number] = ProbeForOther(origin, request.target)
        step += exchange
    }

    /** Probes [target] out of turn, unless a probe of it runs, or too many run. */
    fun probeNow(
        target: MemberRecord,
        step: Step,
    ) {
        val isProbed = pending.values.any { it.target == target.instance }
        if (target.state != MemberState.DEAD && !isProbed && pending.size < settings.relayLimit) probe(target, step)
    }

    /** Forgets all probes under way, because this process did not run while their time passed. */
    fun forgetProbes(now: Moment) {
        pending.clear()
        forOthers.clear()
        nextProbeAt = now
    }

    private fun startProbe(step: Step) {
        if (step.now < nextProbeAt) return
        val target = nextTarget(step) ?: return
        nextProbeAt = step.now + settings.probeInterval * health.multiplier
        probe(target, step)
    }

    private fun probe(
        target: MemberRecord,
        step: Step,
    ) {
        val timeout = settings.probeTimeout * health.multiplier
        val exchange = correspondence.exchange(target.instance, target.place.controlAddress, timeout, ExchangePurpose.PROBE)
        pending[exchange.number] = PendingProbe(target.instance, relayAt = step.now + timeout)
        step += exchange
    }

    private fun nextTarget(step: Step): MemberRecord? {
        if (round.isEmpty()) {
            round +=
                table.all
                    .filter { it.state != MemberState.DEAD }
                    .map { it.instance }
                    .shuffled(step.random)
        }
        while (round.isNotEmpty()) {
            val record = table[round.removeFirst()]
            if (record != null && record.state != MemberState.DEAD) return record
        }
        return null
    }

    private fun startDeadProbe(step: Step) {
        if (step.now < nextDeadProbeAt) return
        nextDeadProbeAt = step.now + settings.deadProbeInterval
        val target = table.all.filter { it.state == MemberState.DEAD }.randomOrNull(step.random) ?: return
        step += correspondence.exchange(target.instance, target.place.controlAddress, settings.probeTimeout, ExchangePurpose.DEAD_PROBE)
    }

    private fun askRelays(
        probe: PendingProbe,
        step: Step,
    ) {
        probe.failsAt = step.now + settings.relayWait * health.multiplier
        val target = table[probe.target] ?: return
        val relays =
            table.all
                .filter { it.state == MemberState.LIVE && it.instance != probe.target }
                .shuffled(step.random)
                .take(settings.relayCount)
        for (relay in relays) {
            val request = RelayRequest(target.instance, target.place)
            probe.silentRelays += relay.instance
            step +=
                correspondence.exchange(relay.instance, relay.place.controlAddress, settings.relayTimeout, ExchangePurpose.PROBE_THROUGH) {
                    copy(relayRequest = request)
                }
        }
    }

    /** Silence of the relays, unlike their word that the target does not answer, speaks against this node's own connection. */
    private fun endAsFailed(number: Long): MemberRecord? {
        val probe = pending.remove(number) ?: return null
        if (probe.negativeResults == 0 || probe.silentRelays.size > probe.negativeResults) health.worsen()
        return table[probe.target]?.takeIf { it.state != MemberState.DEAD }
    }

    private fun reportTo(
        errand: ProbeForOther,
        answered: Boolean,
        step: Step,
    ) {
        val origin = table[errand.origin] ?: return
        step +=
            correspondence.exchange(origin.instance, origin.place.controlAddress, settings.relayTimeout, ExchangePurpose.GOSSIP) {
                copy(relayedResults = listOf(RelayedResult(errand.target, answered)))
            }
    }
}
