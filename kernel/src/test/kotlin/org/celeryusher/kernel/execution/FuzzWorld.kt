package org.celeryusher.kernel.execution

import kotlin.random.Random

/** A set of nodes, and a network that loses, delays, duplicates and reorders messages as the fuzz test chooses. */
internal class FuzzWorld {
    val oracle = FuzzOracle()
    val random = Random(1)
    var now = 0L
        private set
    private var processStarts = 0L
    private var workCount = 0
    private val nodes = MutableList(NODES) { newNode(it) }
    private val paused = BooleanArray(NODES)
    private val inFlight = ArrayList<Pair<Int, FuzzMessage>>()
    private val ticketedWork = ArrayList<Pair<Int, FuzzWork>>()

    init {
        nodes.forEach { guard -> nodes.forEach { it.receive(guard.hello()) } }
    }

    fun node(choice: Int): FuzzNode? = nodes[choice % NODES].takeUnless { paused[choice % NODES] }

    fun send(
        to: Int,
        message: FuzzMessage,
    ) {
        inFlight += to to message
    }

    fun plainCall(choice: Int) {
        node(choice)?.sendAttempt(FuzzCall(FuzzWork(workCount++, ticket = null), attempts = 1), choice / NODES % NODES)
    }

    fun issue(choice: Int) {
        val ticket = node(choice)?.issue() ?: return
        ticketedWork += choice % NODES to FuzzWork(workCount++, ticket)
    }

    fun sendTicket(choice: Int) {
        if (ticketedWork.isEmpty()) return
        val (owner, work) = ticketedWork[choice % ticketedWork.size]
        send(owner, FuzzMessage.TicketRequest(work))
    }

    fun deliver(
        choice: Int,
        keepCopy: Boolean,
    ) {
        if (inFlight.isEmpty()) return
        val index = choice % inFlight.size
        val (to, message) = inFlight[index]
        if (paused[to]) return
        if (!keepCopy) inFlight.removeAt(index)
        nodes[to].receive(message)
    }

    fun loseMessage(choice: Int) {
        if (inFlight.isNotEmpty()) inFlight.removeAt(choice % inFlight.size)
    }

    fun hello(choice: Int) {
        node(choice)?.let { send(choice / NODES % NODES, it.hello()) }
    }

    fun advanceTime(milliseconds: Int) {
        now += milliseconds
    }

    fun togglePause(choice: Int) {
        paused[choice % NODES] = !paused[choice % NODES]
    }

    fun restart(choice: Int) {
        val number = choice % NODES
        nodes[number] = newNode(number)
        paused[number] = false
        nodes.forEach { nodes[number].receive(it.hello()) }
        nodes.forEach { send(it.number, nodes[number].hello()) }
    }

    private fun newNode(number: Int) = FuzzNode(number, ++processStarts, now, this)

    companion object {
        const val NODES = 3
    }
}
