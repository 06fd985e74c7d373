package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** What a [ReaderSchedule] tells its node to do. */
public sealed interface ReadDecision {
    /** Call the platform now, as a watch that waits for [watchWait] (zero for an answer at once). */
    public data class Read(
        public val watchWait: Duration,
    ) : ReadDecision

    /** Do not call, and ask again at [moment]. News of the source that comes before then may put it off. */
    public data class WaitUntil(
        public val moment: Moment,
    ) : ReadDecision
}
