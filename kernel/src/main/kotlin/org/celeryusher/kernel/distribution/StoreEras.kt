package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment

/** What an answer of the platform's store states about its era. */
public sealed interface StatedEra {
    /** The answer states [era], which is 0 or more. */
    public data class Stated(
        public val era: Long,
    ) : StatedEra

    /** The answer states no era. */
    public data object Absent : StatedEra

    /** The statement cannot be used because of [fault]; [text] is what the answer states. */
    public data class Invalid(
        public val fault: EraFault,
        public val text: String,
    ) : StatedEra
}

/** Why the era of an answer makes the answer unusable. */
public enum class EraFault {
    /** The answer states no era, but an earlier one did. */
    MISSING,

    /** The answer states its era more than once. */
    REPEATED,

    /** The statement is not a whole number of 0 or more. */
    UNREADABLE,

    /** The era is lower than a known one: the answer was sent before the store lost changes. */
    OLDER,
}

/** What the era of an answer means for the node that received it. */
public sealed interface EraDecision {
    /** The answer is of the known era, or of the first one, [era]. */
    public data class Current(
        public val era: Long,
    ) : EraDecision

    /** The answer is of the new [era]: the store has lost changes since [before], and everything must be read again. */
    public data class Entered(
        public val era: Long,
        public val before: Long,
    ) : EraDecision

    /** The answer must not be used. */
    public data class Refused(
        public val fault: EraFault,
        public val detail: String,
    ) : EraDecision
}

/** Follows the era of the platform's store at one node. The era never falls. Not thread-safe. */
public class StoreEras {
    private val refusals = HashMap<EraFault, Long>()

    /** The latest known era, or null before the first answer. */
    public var current: Long? = null
        private set

    /** Whether the store has lost changes at some time, so that other nodes may know later ones than it lists. */
    public val hasLostChanges: Boolean get() = (current ?: 0) > FIRST_ERA

    /** When the store entered the current era as far as this node knows, or null if it has seen no change of the era. */
    public var enteredAt: Moment? = null
        private set

    /** Returns how many answers of the store were refused because of [fault]. */
    public fun refusals(fault: EraFault): Long = refusals[fault] ?: 0

    /** Decides about an answer of the store that states [stated] and arrived at [now]. */
    public fun answered(
        stated: StatedEra,
        now: Moment,
    ): EraDecision {
        val known = current
        return when (stated) {
            is StatedEra.Invalid -> refuse(stated.fault, stated.text)
            is StatedEra.Absent -> if (known == null || known == 0L) reach(0, now) else refuse(EraFault.MISSING, "after era $known")
            is StatedEra.Stated -> {
                if (known != null && stated.era < known) refuse(EraFault.OLDER, "${stated.era} after $known") else reach(stated.era, now)
            }
        }
    }

    /**
     * Decides about data that another node has read in [era]. A node of an earlier version states no era, which counts as 0 and does not show
     * that the store has none.
     *
     * Data of an older era is refused without being counted: the other node learns of the new era from its next read.
     */
    public fun relayed(
        era: Long,
        now: Moment,
    ): EraDecision {
        val known = current
        return when {
            known == null && era == 0L -> EraDecision.Current(0)
            known != null && era < known -> EraDecision.Refused(EraFault.OLDER, "$era after $known")
            else -> reach(era, now)
        }
    }

    private fun reach(
        era: Long,
        now: Moment,
    ): EraDecision {
        val before = current
        current = era
        if (before == null || before == era) return EraDecision.Current(era)
        enteredAt = now
        return EraDecision.Entered(era, before)
    }

    private fun refuse(
        fault: EraFault,
        detail: String,
    ): EraDecision {
        refusals.merge(fault, 1, Long::plus)
        return EraDecision.Refused(fault, detail)
    }

    private companion object {
        /** The era of a store that has lost nothing yet. */
        const val FIRST_ERA = 1L
    }
}
