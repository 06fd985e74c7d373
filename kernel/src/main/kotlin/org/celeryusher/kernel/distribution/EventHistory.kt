package org.celeryusher.kernel.distribution

/** A bounded history that keeps the latest [capacity] events. */
internal class EventHistory(
    private val capacity: Int,
) {
    private val latest = ArrayDeque<HolderEvent>()

    val events: List<HolderEvent> get() = latest.toList()

    fun add(event: HolderEvent) {
        if (latest.size == capacity) latest.removeFirst()
        latest.addLast(event)
    }
}
