package org.celeryusher.node.source

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.distribution.DocumentTransfers
import org.celeryusher.kernel.distribution.TransferOutcome
import org.celeryusher.kernel.membership.Member
import org.celeryusher.node.call.Frame
import org.celeryusher.node.call.SourceReply
import org.celeryusher.node.log.DecisionLog
import kotlin.time.Duration

/** Gets whole configurations from other nodes beside the queries of this one, as [DocumentTransfers] decides. Thread-safe. */
internal class DocumentFetcher(
    private val configuration: ConfigurationWatcher,
    private val peers: SourcePeers,
    private val decisions: DecisionLog,
    private val timeout: Duration,
    /** Called when no peer has sent a configuration that it had announced. */
    private val readPlatform: () -> Unit,
) {
    private val transfers = DocumentTransfers()

    /** The version that is being transferred, or null. */
    val awaitedVersion: Long? get() = synchronized(transfers) { transfers.awaited?.version }

    /** Asks [peer] for [newest] unless a transfer is under way or this version is not newer than the one in force. */
    fun fetchIfNewer(
        newest: ConfigurationDigest,
        peer: Member,
        scope: CoroutineScope,
    ) {
        if (!synchronized(transfers) { transfers.begin(newest, configuration.version ?: 0) }) return
        decisions.record(
            "source",
            "asks for the whole configuration",
            "no changes lead to it",
            "peer" to peer.instance,
            "newest" to newest,
        )
        scope.launch { fetch(newest, peer) }
    }

    private suspend fun fetch(
        newest: ConfigurationDigest,
        peer: Member,
    ) {
        try {
            val query = Frame.SourceQuery(0, version = configuration.version, waitMilliseconds = 0, wantsDocument = true)
            when (val reply = peers.query(peer.frameAddress, query, timeout)) {
                is SourceReply.Answered -> reply.update.configuration?.let { configuration.offerRelayed(it, peer.instance) }
                is SourceReply.Unanswered -> logMissing(peer, reply)
            }
        } finally {
            val isComplete = (configuration.version ?: 0) >= newest.version
            val outcome = synchronized(transfers) { transfers.ended(isComplete) }
            if (outcome == TransferOutcome.READ_PLATFORM) readPlatform()
        }
    }

    private fun logMissing(
        peer: Member,
        reply: SourceReply.Unanswered,
    ): Unit =
        decisions.record(
            "source",
            "got no configuration",
            reply.reason,
            "peer" to peer.instance,
            "receivedBytes" to reply.receivedBytes,
        )
}
