package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.configuration.ConfigurationDigest

/** What follows the end of a transfer. */
public enum class TransferOutcome {
    /** The next answer of a peer that has a newer configuration starts another transfer. */
    ASK_PEERS,

    /** The platform is read, because [DocumentTransfers.ATTEMPTS] transfers in succession have brought nothing. */
    READ_PLATFORM,
}

/**
 * Decides when a node that cannot get a newer configuration as changes asks for the whole document.
 *
 * Addresses slow links: one transfer at a time, and none for a version that the present one makes needless. Not thread-safe.
 */
public class DocumentTransfers {
    private var failures = 0

    /** The configuration that is being transferred, or null. */
    public var awaited: ConfigurationDigest? = null
        private set

    /** Returns whether to ask for [offered] while version [held] is in force; the transfer counts as under way then. */
    public fun begin(
        offered: ConfigurationDigest,
        held: Long,
    ): Boolean {
        if (awaited != null || offered.version <= held) return false
        awaited = offered
        return true
    }

    /** Records the end of the transfer. [isComplete] tells whether the document arrived and was in order. */
    public fun ended(isComplete: Boolean): TransferOutcome {
        awaited = null
        failures = if (isComplete) 0 else failures + 1
        if (failures < ATTEMPTS) return TransferOutcome.ASK_PEERS
        failures = 0
        return TransferOutcome.READ_PLATFORM
    }

    public companion object {
        /** One peer may have stopped or be cut off; two in succession are rare, and further ones cost more time than a read of the platform. */
        public const val ATTEMPTS: Int = 2
    }
}
