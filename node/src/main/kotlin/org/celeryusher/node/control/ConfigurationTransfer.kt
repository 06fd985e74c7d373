package org.celeryusher.node.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.distribution.TransferDecision

/** The response to `GET /control/configuration`. */
@Serializable
internal sealed interface ConfigurationTransfer {
    /** The sender has no newer configuration than the requesting node. */
    @Serializable
    @SerialName("nothing")
    data object Nothing : ConfigurationTransfer

    /** The encoded delta from the configuration of the requesting node. */
    @Serializable
    @SerialName("delta")
    data class Delta(
        val text: String,
    ) : ConfigurationTransfer

    /** The full document. */
    @Serializable
    @SerialName("whole")
    data class Whole(
        val target: ConfigurationDigest,
        val text: String,
    ) : ConfigurationTransfer

    /** The sender has reached its limit of concurrent transfers. */
    @Serializable
    @SerialName("busy")
    data class Busy(
        val retryAfterMilliseconds: Long,
    ) : ConfigurationTransfer

    companion object {
        /** Returns the message for [decision]. */
        fun of(decision: TransferDecision): ConfigurationTransfer =
            when (decision) {
                TransferDecision.Nothing -> Nothing
                is TransferDecision.Delta -> Delta(decision.text)
                is TransferDecision.Whole -> Whole(decision.target, decision.text)
                is TransferDecision.Busy -> Busy(decision.retryAfter.inWholeMilliseconds + 1)
            }
    }
}
