package org.celeryusher.node.metrics

import org.celeryusher.node.control.TransferStatus
import java.util.concurrent.atomic.LongAdder

/** The form in which a node gets a configuration from another one. */
public enum class TransferForm {
    /** What differs between two versions. */
    CHANGES,

    /** The whole document. */
    DOCUMENT,
}

/** The configurations that a node has sent to others and taken over from them since its start. Thread-safe. */
public class ConfigurationTransferCounts {
    private val sent = TransferForm.entries.associateWith { LongAdder() }
    private val sentBytes = TransferForm.entries.associateWith { LongAdder() }
    private val received = TransferForm.entries.associateWith { LongAdder() }
    private val refused = LongAdder()

    /** Counts an answer with changes of [bytes] bytes. */
    internal fun sentChanges(bytes: Int): Unit = countSent(TransferForm.CHANGES, bytes)

    /** Counts an answer with a document of [bytes] bytes. */
    internal fun sentDocument(bytes: Int): Unit = countSent(TransferForm.DOCUMENT, bytes)

    /** Counts a configuration that was put in force and came from another node in [form]. */
    internal fun received(form: TransferForm): Unit = received.getValue(form).increment()

    /** Counts changes that were refused as a whole. */
    internal fun refused(): Unit = refused.increment()

    /** The number of answers that carried a configuration in [form]. */
    public fun sentOf(form: TransferForm): Long = sent.getValue(form).sum()

    /** The bytes that these configurations had as they were sent. */
    public fun sentBytesOf(form: TransferForm): Long = sentBytes.getValue(form).sum()

    /** The number of configurations that came from another node in [form]. */
    public fun receivedOf(form: TransferForm): Long = received.getValue(form).sum()

    /** The number of answers whose changes were refused. */
    public val refusedChanges: Long get() = refused.sum()

    /** Returns the counts for the status page. */
    public fun status(): TransferStatus =
        TransferStatus(
            changesSent = sentOf(TransferForm.CHANGES),
            changeBytesSent = sentBytesOf(TransferForm.CHANGES),
            documentsSent = sentOf(TransferForm.DOCUMENT),
            documentBytesSent = sentBytesOf(TransferForm.DOCUMENT),
            changesReceived = receivedOf(TransferForm.CHANGES),
            documentsReceived = receivedOf(TransferForm.DOCUMENT),
            changesRefused = refusedChanges,
        )

    private fun countSent(
        form: TransferForm,
        bytes: Int,
    ) {
        sent.getValue(form).increment()
        sentBytes.getValue(form).add(bytes.toLong())
    }
}
