package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.StorePosition

/**
 * What one node remembers of earlier requests for evacuations, by which it tells an old request from a new one after the store has lost
 * changes.
 *
 * A store that returns to a copy lists each old request at its old revision, though in a new era. A new request has that revision only by
 * chance, so that the requests which are taken for old ones are kept as [doubtful]. Not thread-safe.
 */
internal class RequestHistory {
    /** The revisions at which each data centre was requested to be evacuated, the latest first. */
    private val revisions = HashMap<DataCentreName, List<Long>>()

    /** The latest request of each evacuation that was withdrawn. */
    private val withdrawn = HashMap<DataCentreName, StorePosition>()

    private val doubtfulRequests = HashMap<DataCentreName, StorePosition>()

    /** Where the first listing of the current era began. What was written after it is not from before the loss of changes. */
    private var firstListed = StorePosition.START

    /** The requests that the store lists and that are taken for old ones. Other nodes may know better. */
    val doubtful: List<Evacuation>
        get() =
            doubtfulRequests
                .map { (name, position) ->
                    Evacuation(name, position.revision, position.era)
                }.sortedBy { it.dataCentre.value }

    /** Records that a listing began at [start]. */
    fun listed(start: StorePosition) {
        if (start.era > firstListed.era) firstListed = start
    }

    /** Records that a listing found the data centres in [present] only. */
    fun retainOnly(present: Set<DataCentreName>) {
        doubtfulRequests.keys.retainAll(present)
    }

    /** Records that [change] is in force. */
    fun requested(change: EvacuationChange.Requested) {
        val earlier = revisions[change.dataCentre].orEmpty() - change.revision
        revisions[change.dataCentre] = (listOf(change.revision) + earlier).take(MAXIMUM_REVISIONS)
        doubtfulRequests -= change.dataCentre
    }

    /** Records that the evacuation of [dataCentre] was withdrawn, which was last requested at [position], or null if that is not known. */
    fun withdrawn(
        dataCentre: DataCentreName,
        position: StorePosition?,
    ) {
        if (position != null) withdrawn[dataCentre] = position
        doubtfulRequests -= dataCentre
    }

    /** Records that [change] is taken for an old request. */
    fun doubted(change: EvacuationChange.Requested) {
        doubtfulRequests[change.dataCentre] = change.position
    }

    /** Returns whether the evacuation that [change] requests was withdrawn after it. */
    fun hasEnded(change: EvacuationChange.Requested): Boolean = withdrawn[change.dataCentre]?.let { change.position <= it } ?: false

    /** Returns whether [change] has the revision of a request of an earlier era that was withdrawn. */
    fun isRepeated(change: EvacuationChange.Requested): Boolean {
        val before = withdrawn[change.dataCentre] ?: return false
        return change.era > before.era && change.revision in revisions[change.dataCentre].orEmpty() && change.position <= firstListed
    }

    private companion object {
        /** Limits the memory for one data centre; a store returns to a copy that is some seconds old. */
        const val MAXIMUM_REVISIONS = 8
    }
}
