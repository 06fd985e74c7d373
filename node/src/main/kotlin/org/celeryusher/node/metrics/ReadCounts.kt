package org.celeryusher.node.metrics

import java.util.concurrent.atomic.LongAdder

/** What a read of the platform is for. */
public enum class ReadKind {
    /** The configuration with the evacuations; a watch of them counts as one read. */
    CONFIGURATION,

    /** The list of backend servers. */
    INSTANCES,

    /** The listing of the evacuations beside the watch. */
    EVACUATIONS,
}

/** How a read of the platform ended. */
public enum class ReadOutcome {
    ANSWERED,

    /** The platform no longer had the changes since the revision asked for, so everything was read again. */
    HISTORY_GONE,

    /** No valid answer in time, or a refusal. */
    FAILED,

    /** This node gave the read up, as after a pause of its process. */
    ABANDONED,
}

/** The reads of the platform by this node since its start. Thread-safe. */
public class ReadCounts {
    private val counters = ReadKind.entries.associateWith { ReadOutcome.entries.associateWith { LongAdder() } }

    /** Counts a read of [kind] that ended with [outcome]. */
    public fun record(
        kind: ReadKind,
        outcome: ReadOutcome,
    ): Unit = counters.getValue(kind).getValue(outcome).increment()

    /** Returns the number of reads of [kind] that ended with [outcome]. */
    public fun count(
        kind: ReadKind,
        outcome: ReadOutcome,
    ): Long = counters.getValue(kind).getValue(outcome).sum()

    /** Returns the number of reads of [kind], however they ended. */
    public fun total(kind: ReadKind): Long = counters.getValue(kind).values.sumOf(LongAdder::sum)

    /** Returns all counts above zero by kind and outcome, in lower case. */
    public fun describe(): Map<String, Map<String, Long>> =
        counters.entries.associate { (kind, byOutcome) ->
            kind.name.lowercase() to byOutcome.entries.associate { it.key.name.lowercase() to it.value.sum() }.filterValues { it > 0 }
        }
}
