package org.celeryusher.node.source

import org.celeryusher.kernel.distribution.EraDecision
import org.celeryusher.kernel.distribution.EraFault
import org.celeryusher.kernel.distribution.StatedEra
import org.celeryusher.kernel.distribution.StoreEras
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.log.DecisionLog

/** Follows the era of the platform's store over all that this node reads or gets from other nodes. Thread-safe. */
internal class StoreEraWatcher(
    private val decisions: DecisionLog,
    /** Reads all data again, since the store has lost changes. */
    private val onEntered: () -> Unit,
) {
    private val eras = StoreEras()

    /** The fault of the latest answer of the store, or null if it could be used. */
    private var lastFault: EraFault? = null

    /** The latest known era, or null before the first answer. */
    val current: Long? @Synchronized get() = eras.current

    /** Whether the store has lost changes at some time. */
    val hasLostChanges: Boolean @Synchronized get() = eras.hasLostChanges

    /** Returns the era of an answer of the store that states [stated], or null if the answer must not be used. */
    @Synchronized
    fun eraOf(
        stated: StatedEra,
        now: Moment,
    ): Long? {
        val decision = eras.answered(stated, now)
        val refused = decision as? EraDecision.Refused
        // A store that was replaced by one of a lower era answers so for good.
        if (refused != null && refused.fault != lastFault) {
            decisions.record("source", "answers ignored", "their era cannot be used: ${refused.fault}", "era" to refused.detail)
        }
        lastFault = refused?.fault
        return eraOf(decision, "the platform")
    }

    /** Returns whether data that the node beside [peer] has read in [era] may be used. */
    @Synchronized
    fun acceptsRelayed(
        era: Long,
        peer: String,
        now: Moment,
    ): Boolean = eraOf(eras.relayed(era, now), peer) != null

    /** Returns how long ago this node learned that the store has lost changes, in milliseconds, or null if it has not. */
    @Synchronized
    fun ageOfChange(now: Moment): Long? = eras.enteredAt?.let { (now - it).inWholeMilliseconds }

    /** Returns the number of refused answers of the store by fault, without zeros. */
    @Synchronized
    fun refusals(): Map<EraFault, Long> = EraFault.entries.associateWith(eras::refusals).filterValues { it > 0 }

    private fun eraOf(
        decision: EraDecision,
        source: String,
    ): Long? =
        when (decision) {
            is EraDecision.Current -> decision.era

            is EraDecision.Entered -> {
                val reason = "the store has lost changes; everything is read again"
                decisions.record("source", "era ${decision.era}", reason, "before" to decision.before, "from" to source)
                onEntered()
                decision.era
            }

            is EraDecision.Refused -> null
        }
}
