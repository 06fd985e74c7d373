package org.celeryusher.node.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.distribution.TransferDecision

/** The answer to `GET /control/configuration`. */
@Serializable
internal sealed interface ConfigurationTransfer {
    /** The sender has nothing newer than what the asking node holds. */
    @Serializable
    @SerialName("nothing")
    data object Nothing : ConfigurationTransfer

    /** The encoded difference from what the asking node holds. */
    @Serializable
    @SerialName("delta")
    data class Delta(
        val text: String,
    ) : ConfigurationTransfer

    /** The whole document. */
    @Serializable
    @SerialName("whole")
    data class Whole(
        val target: ConfigurationDigest,
        val text: String,
    ) : ConfigurationTransfer

    /** The sender has no room for another transfer at present. */
    @Serializable
    @SerialName("busy")
    data class Busy(
        val retryAfterMilliseconds: Long,
    ) : ConfigurationTransfer

    companion object {
        /** Returns the message that carries [decision]. */
        fun of(decision: TransferDecision): ConfigurationTransfer =
            when (decision) {
                TransferDecision.Nothing -> Nothing
                is TransferDecision.Delta -> Delta(decision.text)
                is TransferDecision.Whole -> Whole(decision.target, decision.text)
                is TransferDecision.Busy -> Busy(decision.retryAfter.inWholeMilliseconds + 1)
            }
    }
}
