package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The peer that the platform answers while it turns away a candidate of a [SourceSchedule]. Not thread-safe. */
internal class PeerOffers(
    /** The time between two attempts to read the platform again, so that the offering peer does not read for ever. */
    private val checkInterval: Duration = 10.seconds,
) {
    private var checkAt = Moment.FAR_FUTURE

    /** The peer whose offer is in use, or null. */
    var peer: InstanceName? = null
        private set

    /** Records an offer. An earlier one that is in use stays, so that few nodes read. */
    fun add(
        peer: InstanceName,
        now: Moment,
    ) {
        if (this.peer != null) return
        this.peer = peer
        checkAt = now + checkInterval
    }

    /** Records that [peer] did not answer, or had old data. */
    fun failed(peer: InstanceName) {
        if (peer == this.peer) clear()
    }

    /** Records that no offer is needed. */
    fun clear() {
        peer = null
        checkAt = Moment.FAR_FUTURE
    }

    /** Returns whether it is time to read the platform again, once in each interval. */
    fun isCheckDue(now: Moment): Boolean {
        if (now < checkAt) return false
        checkAt = now + checkInterval
        return true
    }
}
