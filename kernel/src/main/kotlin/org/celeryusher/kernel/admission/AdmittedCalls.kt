package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/** The calls that are queued or running at one backend server, by key, and the queues of those that wait. */
internal class AdmittedCalls<Key : Any>(
    private val ranks: RankStates<Key>,
    private val exclusive: ExclusiveCalls<Key>,
) {
    private val calls = HashMap<Key, AdmissionCall<Key>>()

    /** Returns the call [key], or null when it is neither queued nor running. */
    operator fun get(key: Key): AdmissionCall<Key>? = calls[key]

    /** Returns the queued calls among [keys]. */
    fun queuedOf(keys: Collection<Key>): List<AdmissionCall<Key>> = keys.mapNotNull(calls::get).filter { it.startedAt == null }

    fun enqueue(call: AdmissionCall<Key>) {
        calls[call.request.key] = call
        queueOf(call).add(call)
    }

    /** Moves [call], which may be queued, to the running calls. */
    fun start(call: AdmissionCall<Key>) {
        queueOf(call).remove(call)
        calls[call.request.key] = call
    }

    fun removeQueued(call: AdmissionCall<Key>) {
        queueOf(call).remove(call)
        calls.remove(call.request.key)
    }

    /** Removes the call [key], which has ended. */
    fun removeEnded(key: Key) {
        calls.remove(key)
    }

    /** Passes each queued call that can no longer start in time to [refuse], which must remove it. */
    inline fun forEachExpired(
        now: Moment,
        refuse: (AdmissionCall<Key>) -> Unit,
    ) {
        for (queue in ranks.all.map { it.queue }) {
            while (true) {
                queue
                    .expiryCandidates()
                    .filter { it.latestStart(now) <= now }
                    .ifEmpty { break }
                    .forEach(refuse)
            }
        }
        while (true) {
            val expired = exclusive.queue.expiryCandidates().filter { it.request.deadline <= now }
            expired.ifEmpty { break }.forEach(refuse)
        }
    }

    /** Passes each queued call to [refuse], which must remove it. */
    inline fun forEachQueued(refuse: (AdmissionCall<Key>) -> Unit) {
        for (queue in ranks.all.map { it.queue } + exclusive.queue) {
            while (true) refuse(queue.firstArrival() ?: break)
        }
    }

    private fun queueOf(call: AdmissionCall<Key>): CallQueue<Key> = if (call.request.isExclusive) exclusive.queue else call.rank.queue
}
