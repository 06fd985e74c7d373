package org.celeryusher.kernel.distribution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationParser

/** Why changes of the configuration that another node has sent are not applied. The whole document is needed instead. */
public sealed interface ChangeFault {
    /** The changes start from [base], or do not follow each other, but this node is at [held]. */
    public data class WrongBase(
        public val base: ConfigurationDigest,
        public val held: ConfigurationDigest,
    ) : ChangeFault

    /** A change leads from [base] to [target], which is not a later version. */
    public data class NotRising(
        public val base: ConfigurationDigest,
        public val target: ConfigurationDigest,
    ) : ChangeFault

    /** There are [count] changes, or none. */
    public data class WrongCount(
        public val count: Int,
    ) : ChangeFault

    /** The delta to [target] cannot be decoded. */
    public data class Undecodable(
        public val target: ConfigurationDigest,
        public val message: String,
    ) : ChangeFault

    /** The result is not the announced configuration. */
    public data class WrongResult(
        public val expected: ConfigurationDigest,
        public val found: ConfigurationDigest,
    ) : ChangeFault
}

/** Decodes deltas of the published bytes of a configuration. */
public fun interface DeltaDecoder {
    /** Returns the bytes that [delta] makes of [base], at most [maximumBytes] of them, or what is wrong with it. */
    public fun decode(
        base: ByteArray,
        delta: ByteArray,
        maximumBytes: Int,
    ): Either<String, ByteArray>
}

/** Applies changes that another node has sent: all of them or none. */
public class ChangeApplication(
    private val decoder: DeltaDecoder,
    private val maximumBytes: Int,
    private val settings: ChangeHistorySettings = ChangeHistorySettings(),
) {
    /**
     * Returns the bytes that [changes] make of [bytes], whose digest is [held], or the first fault.
     *
     * The content hash of each version on the way must agree, so that what is passed on to others is right as well.
     */
    public fun apply(
        held: ConfigurationDigest,
        bytes: ByteArray,
        changes: List<ConfigurationChange>,
    ): Either<ChangeFault, ByteArray> {
        if (changes.size !in 1..settings.maximumChanges) return ChangeFault.WrongCount(changes.size).left()
        var reached = held
        var result = bytes
        for (change in changes) {
            result = applyOne(reached, result, change).fold({ return it.left() }, { it })
            reached = change.target
        }
        return result.right()
    }

    private fun applyOne(
        held: ConfigurationDigest,
        bytes: ByteArray,
        change: ConfigurationChange,
    ): Either<ChangeFault, ByteArray> {
        if (change.base != held) return ChangeFault.WrongBase(change.base, held).left()
        if (change.target.version <= held.version) return ChangeFault.NotRising(held, change.target).left()
        return decoder.decode(bytes, change.delta, maximumBytes).fold(
            { ChangeFault.Undecodable(change.target, it).left() },
            { result ->
                val hash = ConfigurationParser.contentHashOf(result)
                if (hash == change.target.contentHash) {
                    result.right()
                } else {
                    ChangeFault.WrongResult(change.target, change.target.copy(contentHash = hash)).left()
                }
            },
        )
    }
}
