package org.celeryusher.node.source

import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.StorePosition
import org.celeryusher.kernel.membership.EvacuationChange
import org.celeryusher.kernel.membership.EvacuationDirectory
import org.celeryusher.kernel.membership.EvacuationSet
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.call.SourceRelay
import org.celeryusher.node.control.EvacuationStatus
import org.celeryusher.node.log.DecisionLog
import org.celeryusher.node.runtime.RoutingState
import kotlin.time.Duration

/** Keeps the evacuations, read from the platform or relayed by a peer, and puts them in force. Thread-safe. */
internal class EvacuationWatcher(
    private val routing: RoutingState,
    private val decisions: DecisionLog,
    private val relay: SourceRelay,
) {
    private val directory = EvacuationDirectory()
    private var loggedHeld: Set<DataCentreName> = emptySet()

    /** Whether all evacuations are known. */
    val isKnown: Boolean @Synchronized get() = directory.isKnown

    /** The revision of the latest change that is known, 0 before the first complete state. */
    val changedAt: Long @Synchronized get() = directory.changedAt

    /** The number of answers of the platform whose revision was below that of the known evacuations. */
    @Volatile
    var answersBelow: Long = 0
        private set

    /** Applies the evacuations in [data], which [read] returned and which is complete up to [reached]. */
    @Synchronized
    fun apply(
        read: SourceRead,
        data: OperatorData,
        reached: StorePosition,
        now: Moment,
    ) {
        when (read) {
            is SourceRead.Complete -> {
                val requested = data.evacuations.filterIsInstance<EvacuationChange.Requested>()
                directory.applyComplete(requested, reached, now, data.listsAllEvacuations)
            }

            is SourceRead.Watch -> directory.applyWatched(data.evacuations, reached, now)
        }
        countAnswer(reached)
        publish("the platform", now)
    }

    /** Applies the evacuations in [data], which a listing beside the watch has found at [start]. */
    @Synchronized
    fun applyListing(
        data: OperatorData,
        start: StorePosition,
        now: Moment,
    ) {
        val requested = data.evacuations.filterIsInstance<EvacuationChange.Requested>()
        if (directory.applyListing(requested, start, now, data.listsAllEvacuations)) {
            decisions.record("evacuation", "changes found", "no watch has returned them yet", "revision" to start)
        }
        publish("the platform", now)
    }

    private fun countAnswer(reached: StorePosition) {
        if (directory.answersBelow == 0) return
        answersBelow++
        if (directory.answersBelow != REPEATED_ANSWERS) return
        decisions.record(
            "evacuation",
            "answers of the platform ignored",
            "their revisions are lower than that of the known evacuations, as after a store was replaced",
            "revision" to reached,
            "known" to directory.position,
        )
    }

    /** Applies all evacuations that [peer] knows. */
    @Synchronized
    fun applyRelayed(
        set: EvacuationSet,
        peer: InstanceName,
        now: Moment,
    ) {
        directory.applyRelayed(set, now)
        publish("the node beside $peer", now)
    }

    /** Returns the time since the latest listing became known here, or null before the first one. */
    @Synchronized
    fun listingAge(now: Moment): Duration? = directory.listedAt.takeIf { it != Moment.DISTANT_PAST }?.let { now - it }

    /** Returns the evacuations for the status page. */
    @Synchronized
    fun status(now: Moment): List<EvacuationStatus> {
        val since = directory.evacuatedSince
        return directory.snapshot()?.evacuations.orEmpty().map {
            EvacuationStatus(it.dataCentre, (now - since.getValue(it.dataCentre)).inWholeMilliseconds, it.revision)
        }
    }

    /** Returns the evacuations that are in force although the platform does not list them, because they may be written again. */
    @Synchronized
    fun held(now: Moment): Set<DataCentreName> = directory.held(now)

    private fun publish(
        source: String,
        now: Moment,
    ) {
        val set = directory.snapshot() ?: return
        logHeld(now)
        val before = routing.current.view.evacuated
        val evacuated = set.evacuations.mapTo(HashSet()) { it.dataCentre }
        if (evacuated != before) {
            routing.updateEvacuated(evacuated)
            (evacuated - before).forEach { record(it, "starts", set, source) }
            (before - evacuated).forEach { record(it, "ends", set, source) }
        }
        relay.updateEvacuations(set)
    }

    private fun logHeld(now: Moment) {
        val held = directory.held(now)
        (held - loggedHeld).forEach {
            decisions.record(
                "evacuation",
                "of $it stays",
                "the store has lost changes and may have lost it",
                "revision" to directory.position,
            )
        }
        loggedHeld = held
    }

    private fun record(
        dataCentre: DataCentreName,
        decided: String,
        set: EvacuationSet,
        source: String,
    ): Unit =
        decisions.record(
            "evacuation",
            "of $dataCentre $decided",
            if (decided == "starts") "an operator requests it" else "an operator has withdrawn it",
            "revision" to set.changedAt,
            "readUpTo" to set.position,
            "from" to source,
        )

    private companion object {
        /** A single answer may be overtaken by the set of another node, which has read later. */
        const val REPEATED_ANSWERS = 3
    }
}
