package org.celeryusher.kernel.execution

import kotlin.random.Random

/** Some nodes, and a network that loses, holds, doubles and reorders messages as the fuzz says. */
internal class FuzzWorld {
    val oracle = FuzzOracle()
    val random = Random(1)
    var now = 0L
        private set
    private var lives = 0L
    private var works = 0
    private val nodes = MutableList(NODES) { newNode(it) }
    private val paused = BooleanArray(NODES)
    private val inFlight = ArrayList<Pair<Int, FuzzMessage>>()
    private val ticketed = ArrayList<Pair<Int, FuzzWork>>()

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
        node(choice)?.call(FuzzCall(FuzzWork(works++, ticket = null), attempts = 1), choice / NODES % NODES)
    }

    fun issue(choice: Int) {
        val ticket = node(choice)?.issue() ?: return
        ticketed += choice % NODES to FuzzWork(works++, ticket)
    }

    fun sendTicket(choice: Int) {
        if (ticketed.isEmpty()) return
        val (owner, work) = ticketed[choice % ticketed.size]
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

    fun lose(choice: Int) {
        if (inFlight.isNotEmpty()) inFlight.removeAt(choice % inFlight.size)
    }

    fun hello(choice: Int) {
        node(choice)?.let { send(choice / NODES % NODES, it.hello()) }
    }

    fun pass(milliseconds: Int) {
        now += milliseconds
    }

    fun pauseOrWake(choice: Int) {
        paused[choice % NODES] = !paused[choice % NODES]
    }

    fun restart(choice: Int) {
        val number = choice % NODES
        nodes[number] = newNode(number)
        paused[number] = false
        nodes.forEach { nodes[number].receive(it.hello()) }
        nodes.forEach { send(it.number, nodes[number].hello()) }
    }

    private fun newNode(number: Int) = FuzzNode(number, ++lives, now, this)

    companion object {
        const val NODES = 3
    }
}
