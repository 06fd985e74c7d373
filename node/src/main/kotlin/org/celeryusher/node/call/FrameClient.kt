package org.celeryusher.node.call

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import org.celeryusher.kernel.admission.CallOrigin
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One attempt of a call, as a proxy sends it to a guard. */
internal class OutgoingCall(
    val attempt: AttemptId,
    val route: RouteName,
    val rankPosition: Int,
    val idempotent: Boolean,
    val request: CallRequest,
    val deadline: DeadlineBudget,
    /** The one-way network latency to the guard's data centre. */
    val oneWayLatency: Duration,
    val ticket: String?,
    /** The process start of the node that issued the ticket. After a restart the call is not sent. */
    val ticketProcessStart: Long?,
    val suspected: Boolean,
    /** The chosen backend server. */
    val server: InstanceName,
    /** The time until which an answer meets the target latency. */
    val targetDeadline: Moment,
    /** The limit on calls a second that the chosen backend server has stated, as far as this node knows, or null for none. */
    val callsPerSecond: Double?,
    val kind: AttemptKind = AttemptKind.FIRST,
    val origin: CallOrigin = CallOrigin.NEW,
    /** Whether calls on the route usually carry so much that others should not wait behind them on one connection. */
    val isLarge: Boolean = false,
)

/** Sends calls to the guards of other instances, over one persistent connection to each, and one more for large calls. */
internal class FrameClient(
    private val network: TcpNetwork,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
    private val random: Random,
    private val paths: PathReports = PathReports(decisions = null),
    /** Called for each load report that a guard pushes. */
    private val onLoad: (Address, GuardLoad) -> Unit,
) {
    private data class ChannelKey(
        val address: Address,
        val isForLarge: Boolean,
    )

    private val channels = ConcurrentHashMap<ChannelKey, GuardChannel>()
    private val waitingCalls = MutableStateFlow(0)

    /** The number of answers for which no call was waiting, because they were late or crossed with a cancellation. */
    val unmatchedAnswers: AtomicLong = AtomicLong()

    /** Sends [call] to the guard at [address] and returns its reply. */
    suspend fun run(
        address: Address,
        call: OutgoingCall,
    ): GuardReply {
        waitingCalls.update { it + 1 }
        try {
            return channelTo(address, call.isLarge && network.isLinkSlow).run(call)
        } finally {
            waitingCalls.update { it - 1 }
        }
    }

    /** Watches for connections that go silent while calls wait on them, until cancelled. */
    suspend fun watchConnections() {
        while (true) {
            waitingCalls.first { it > 0 }
            do {
                delay(LIVENESS_INTERVAL)
                val now = clock.now()
                val probing = channels.values.count { it.checkLiveness(now, LIVENESS_INTERVAL) }
            } while (probing > 0)
        }
    }

    /** Requests a ticket for [route] from the guard at [address]. */
    suspend fun requestTicket(
        address: Address,
        route: RouteName,
    ): TicketReply = channelTo(address).requestTicket(route)

    /** Sends [query] to the node at [address] and returns its answer, or why there is none within [timeout]. */
    suspend fun query(
        address: Address,
        query: Frame.SourceQuery,
        timeout: Duration,
    ): SourceReply = channelTo(address, query.wantsDocument && network.isLinkSlow).query(query, timeout)

    /** Sends [query] to the node at [address] and returns its answer, or null when none arrives within [timeout]. */
    suspend fun query(
        address: Address,
        query: Frame.CrashQuery,
        timeout: Duration,
    ): Frame.CrashUpdate? = channelTo(address).query(query, timeout)

    /** Asks the node at [address] for [query]. Returns false also when no answer arrives within [timeout]. */
    suspend fun isGranted(
        address: Address,
        query: Frame.RetryQuery,
        timeout: Duration,
    ): Boolean = channelTo(address).isGranted(query, timeout)

    /** Closes all connections. */
    fun stop(): Unit = channels.values.forEach(GuardChannel::close)

    /** Closes the connections to all addresses that are not in [addresses], each one after its pending calls have ended. */
    fun retainOnly(addresses: Set<Address>) {
        for (key in channels.keys.filter { it.address !in addresses }) channels.remove(key)?.retire()
    }

    private fun channelTo(
        address: Address,
        isForLarge: Boolean = false,
    ): GuardChannel =
        channels.computeIfAbsent(ChannelKey(address, isForLarge)) {
            GuardChannel(it.address, network, scope, clock, maximumFrameBytes, unmatchedAnswers, random, paths, onLoad)
        }

    private companion object {
        val LIVENESS_INTERVAL = 100.milliseconds
    }
}
