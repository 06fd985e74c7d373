package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest

/** What a node keeps of the latest changes of the configuration, and how much of it one answer may carry. */
public data class ChangeHistorySettings(
    /** The number of versions that a node may be behind before it needs the whole document. Each one costs it a few milliseconds. */
    public val maximumChanges: Int = 32,
    /** The size of all kept changes. */
    public val maximumBytes: Int = 65_536,
    /** The size of the changes in one answer up to which they are sent without comparing them with the compressed document. */
    public val smallAnswerBytes: Int = 8_192,
)

/** What a node is sent that asks for a newer configuration than the one it holds. */
public sealed interface ConfigurationAnswer {
    /** There is none. */
    public data object UpToDate : ConfigurationAnswer

    /** The [changes] that lead from the configuration that the node holds to the newest one. */
    public data class Changes(
        public val changes: List<ConfigurationChange>,
    ) : ConfigurationAnswer

    /** The node needs the whole document. */
    public data object Document : ConfigurationAnswer
}

/**
 * The latest changes of the configuration of one node, each of which starts from the version that the one before it makes.
 *
 * Addresses fleets on slow links: a change of one route is sent to a node as such, and the whole document only to a node that has
 * fallen out of the history. Not thread-safe.
 */
public class ChangeHistory(
    private val settings: ChangeHistorySettings = ChangeHistorySettings(),
) {
    private val changes = ArrayDeque<ConfigurationChange>()
    private var bytes = 0

    /** Adds [change]. One that does not continue the history replaces it. */
    public fun add(change: ConfigurationChange) {
        if (changes.lastOrNull()?.target != change.base) clear()
        changes += change
        bytes += change.delta.size
        while (changes.size > settings.maximumChanges || bytes > settings.maximumBytes) bytes -= changes.removeFirst().delta.size
    }

    /** Removes all changes, because the newest configuration was not reached by one from the version before it. */
    public fun clear() {
        changes.clear()
        bytes = 0
    }

    /**
     * Returns what a node that holds [held] is sent while [newest] is in force here.
     *
     * [documentBytes] is the size of the document as it would be sent; it is asked for only when it matters. Another content under the same
     * version is a conflict, which no change can mend, and counts as nothing new.
     */
    public fun answerTo(
        held: ConfigurationDigest,
        newest: ConfigurationDigest,
        documentBytes: () -> Int,
    ): ConfigurationAnswer {
        if (held.version >= newest.version) return ConfigurationAnswer.UpToDate
        val first = changes.indexOfFirst { it.base == held }
        if (first < 0 || changes.last().target != newest) return ConfigurationAnswer.Document
        val needed = changes.drop(first)
        val size = needed.sumOf { it.delta.size }
        return if (size <= settings.smallAnswerBytes || size < documentBytes()) {
            ConfigurationAnswer.Changes(needed)
        } else {
            ConfigurationAnswer.Document
        }
    }
}
