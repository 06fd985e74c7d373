package org.celeryusher.node.call

import kotlinx.coroutines.CoroutineScope
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.execution.AttemptId
import org.celeryusher.kernel.execution.DeadlineBudget
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.net.TcpNetwork
import org.celeryusher.node.runtime.ProcessClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** One attempt of a call, as a proxy sends it to a guard. */
internal class OutgoingCall(
    val attempt: AttemptId,
    val route: RouteName,
    val rankPosition: Int,
    val idempotent: Boolean,
    val request: CallRequest,
    val deadline: DeadlineBudget,
    /** The one-way latency to the guard's data centre. */
    val oneWay: Duration,
    val ticket: String?,
    /** The life of the guard's node that the ticket names; another life is not called. */
    val ticketProcessStart: Long?,
    val suspected: Boolean,
    /** The backend server that was chosen. */
    val server: InstanceName,
    /** Until when the answer has its full worth. */
    val targetEnd: Moment,
)

/** Sends calls to the guards of other instances over one kept connection for each. */
internal class FrameClient(
    private val network: TcpNetwork,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val maximumFrameBytes: Int,
    /** Called with each load that a guard tells unasked. */
    private val onLoad: (Address, GuardLoad) -> Unit,
) {
    private val channels = ConcurrentHashMap<Address, GuardChannel>()

    /** How many answers came that no call waited for: late or crossed ones. */
    val strayAnswers: AtomicLong = AtomicLong()

    /** Runs [call] on the guard at [address]. */
    suspend fun run(
        address: Address,
        call: OutgoingCall,
    ): GuardReply = channelTo(address).run(call)

    /** Asks the guard at [address] for a ticket for [route]. */
    suspend fun requestTicket(
        address: Address,
        route: RouteName,
    ): TicketReply = channelTo(address).requestTicket(route)

    /** Closes all connections. */
    fun stop(): Unit = channels.values.forEach(GuardChannel::close)

    /** Closes the connections to all addresses but [addresses], each once the calls that it carries have ended. */
    fun retainOnly(addresses: Set<Address>) {
        for (address in channels.keys - addresses) channels.remove(address)?.retire()
    }

    private fun channelTo(address: Address): GuardChannel =
        channels.computeIfAbsent(address) { GuardChannel(it, network, scope, clock, maximumFrameBytes, strayAnswers, onLoad) }
}
