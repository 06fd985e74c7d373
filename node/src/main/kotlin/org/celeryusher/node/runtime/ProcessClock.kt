package org.celeryusher.node.runtime

import org.celeryusher.kernel.time.Moment

/** Reads the monotonic clock; the runtime takes one and passes readings to the kernel. */
public fun interface ProcessClock {
    /** Returns the present moment. */
    public fun now(): Moment

    public companion object {
        /** The clock of this process. */
        public val SYSTEM: ProcessClock = ProcessClock { Moment(System.nanoTime()) }
    }
}
