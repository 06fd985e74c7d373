package org.celeryusher.node.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.celeryusher.kernel.configuration.ConfigurationDelta
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.distribution.ConfigurationSource
import org.celeryusher.kernel.distribution.OfferDecision
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.kernel.membership.GossipMessage
import org.celeryusher.node.runtime.RoutingState
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Executes the actions that [ControlState] requests, each in a coroutine of [scope].
 *
 * The outcome is reported to [ControlState], which may request further actions.
 */
internal class ControlActionExecutor(
    private val scope: CoroutineScope,
    private val state: ControlState,
    private val routing: RoutingState,
    private val transport: ControlTransport,
    private val extension: GossipExtension,
    ownInstance: String,
) {
    private val ownInstance = URLEncoder.encode(ownInstance, Charsets.UTF_8)

    /** Starts [actions] and returns their jobs without waiting for them. */
    fun start(actions: List<ControlAction>): List<Job> = actions.map { action -> scope.launch { executeSafely(action) } }

    /** Returns [message] with the current payload of this node. */
    fun withPayload(message: GossipMessage): GossipMessage =
        message.copy(payload = state.payload().copy(quarantined = extension.outgoing()))

    /** Handles [announcement] and applies its delta, if any. Returns this node's own announcement afterwards. */
    fun handleAnnouncement(announcement: ConfigurationAnnouncement): ConfigurationAnnouncement {
        val snapshot = announcement.delta?.let(::snapshotAfter)
        if (snapshot != null && snapshot.digest == announcement.inForce) {
            start(state.offer(snapshot, ConfigurationSource.Peer(announcement.sender)).actions)
        }
        start(state.handleAnnouncement(announcement))
        return state.announcement()
    }

    private suspend fun executeSafely(action: ControlAction) {
        try {
            execute(action)
        } catch (error: CancellationException) {
            throw error
        } catch (error: Throwable) {
            if (!error.isRecoverable) throw error
            logger.error(error) { "control action ${action::class.simpleName} failed" }
        }
    }

    private suspend fun execute(action: ControlAction) {
        when (action) {
            is ControlAction.Exchange -> exchange(action)
            is ControlAction.Announce -> announce(action)
            is ControlAction.Pull -> pull(action)
            is ControlAction.AbandonPull -> start(state.pullEnded(action.peer, action.avoidFor))
            is ControlAction.PullInstances -> pullInstances(action)
        }
    }

    private suspend fun exchange(action: ControlAction.Exchange) {
        val exchange = action.exchange
        val body = ControlFormat.encode(GossipMessage.serializer(), withPayload(exchange.message))
        val answer = transport.post(exchange.address, ControlPaths.GOSSIP, body, exchange.timeout)
        val message = answer?.let { ControlFormat.decodeOrNull(GossipMessage.serializer(), it) }
        if (message == null) {
            start(state.handleExchangeFailure(exchange.number))
        } else {
            if (message.payload.quarantined.isNotEmpty()) extension.incoming(message.payload.quarantined)
            start(state.handleExchangeAnswer(exchange.number, message))
        }
    }

    private suspend fun announce(action: ControlAction.Announce) {
        val body = ControlFormat.encode(ConfigurationAnnouncement.serializer(), state.announcement(action.delta))
        val answer = transport.post(action.address, ControlPaths.CONFIGURATION, body, ANNOUNCE_TIMEOUT) ?: return
        val announcement = ControlFormat.decodeOrNull(ConfigurationAnnouncement.serializer(), answer) ?: return
        start(state.handleAnnouncement(announcement))
    }

    private suspend fun pull(action: ControlAction.Pull) {
        val held = action.held?.let { "&version=${it.version}&hash=${it.contentHash}" }.orEmpty()
        val path = "${ControlPaths.CONFIGURATION}?instance=$ownInstance$held"
        val answer = transport.get(action.address, path, PULL_TIMEOUT)
        when (val transfer = answer?.let { ControlFormat.decodeOrNull(ConfigurationTransfer.serializer(), it) }) {
            null, ConfigurationTransfer.Nothing -> pullEnded(action, FAILED_PEER_AVOIDANCE)
            is ConfigurationTransfer.Busy -> pullEnded(action, transfer.retryAfterMilliseconds.milliseconds)
            is ConfigurationTransfer.Delta -> applyDelta(action, transfer)
            is ConfigurationTransfer.Whole -> {
                val source = ConfigurationSource.Peer(action.peer)
                handleOffer(action, state.offer(transfer.text.encodeToByteArray(), source, transfer.target))
            }
        }
    }

    private suspend fun applyDelta(
        action: ControlAction.Pull,
        transfer: ConfigurationTransfer.Delta,
    ) {
        val snapshot = snapshotAfter(transfer.text)
        when {
            snapshot != null -> handleOffer(action, state.offer(snapshot, ConfigurationSource.Peer(action.peer)))
            action.held != null -> pull(action.copy(held = null))
            else -> pullEnded(action, FAILED_PEER_AVOIDANCE)
        }
    }

    /**
     * Returns the result of applying [delta] to the configuration in force now, or null when [delta] does not apply to it.
     *
     * It runs outside the lock of [ControlState].
     */
    private fun snapshotAfter(delta: String): ConfigurationSnapshot? {
        val held = routing.current.snapshot ?: return null
        return ConfigurationDelta
            .parse(delta)
            .getOrNull()
            ?.applyTo(held)
            ?.getOrNull()
    }

    private fun handleOffer(
        action: ControlAction.Pull,
        offered: OfferResult,
    ) {
        start(offered.actions)
        pullEnded(action, if (offered.decision is OfferDecision.Refused) FAILED_PEER_AVOIDANCE else Duration.ZERO)
    }

    private fun pullEnded(
        action: ControlAction.Pull,
        avoidFor: Duration,
    ) {
        start(state.pullEnded(action.peer, avoidFor))
    }

    private suspend fun pullInstances(action: ControlAction.PullInstances) {
        val held = action.heldRevision?.let { "?revision=$it" }.orEmpty()
        val answer = transport.get(action.address, ControlPaths.INSTANCES + held, PULL_TIMEOUT) ?: return
        val transfer = ControlFormat.decodeOrNull(InstanceListTransfer.serializer(), answer) ?: return
        val actions = state.applyInstances(transfer)
        when {
            actions != null -> start(actions)
            action.heldRevision != null -> pullInstances(action.copy(heldRevision = null))
        }
    }

    private companion object {
        val ANNOUNCE_TIMEOUT = 1.seconds
        val PULL_TIMEOUT = 5.seconds
        val FAILED_PEER_AVOIDANCE = 1.seconds
        val logger = KotlinLogging.logger {}
    }
}
