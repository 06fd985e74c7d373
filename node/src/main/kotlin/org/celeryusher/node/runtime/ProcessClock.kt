package org.celeryusher.node.runtime

import org.celeryusher.kernel.time.Moment

/** A monotonic clock. The runtime reads it and passes the readings to the kernel. */
public fun interface ProcessClock {
    /** Returns the current moment. */
    public fun now(): Moment

    public companion object {
        /** The clock of this process. */
        public val SYSTEM: ProcessClock = ProcessClock { Moment(System.nanoTime()) }
    }
}
