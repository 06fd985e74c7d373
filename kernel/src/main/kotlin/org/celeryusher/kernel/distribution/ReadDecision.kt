package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** What a node does next according to its [ReaderSchedule]. */
public sealed interface ReadDecision {
    /** Read from the platform now, as a long poll of up to [watchWait]; zero asks for an immediate answer. */
    public data class Read(
        public val watchWait: Duration,
    ) : ReadDecision

    /** Do not read, and call [ReaderSchedule.decide] again at [moment]. A platform answer to another node may postpone the read further. */
    public data class WaitUntil(
        public val moment: Moment,
    ) : ReadDecision
}
