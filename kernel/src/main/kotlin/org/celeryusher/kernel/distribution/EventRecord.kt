package org.celeryusher.kernel.distribution

/** The latest events, at most [capacity] of them. */
internal class EventRecord(
    private val capacity: Int,
) {
    private val latest = ArrayDeque<HolderEvent>()

    val events: List<HolderEvent> get() = latest.toList()

    fun add(event: HolderEvent) {
        if (latest.size == capacity) latest.removeFirst()
        latest.addLast(event)
    }
}
