package org.celeryusher.kernel.execution

import kotlin.time.Duration

/** Whether and how a request may run, given the crashes during requests with the same fingerprint. */
public sealed interface CrashVerdict {
    /** The request may run without restrictions. */
    public data object RunNormally : CrashVerdict

    /** The request may run only while its backend server runs nothing else, because a server crashed while running it. */
    public data object RunExclusively : CrashVerdict

    /** The request is refused for [remaining], because it crashed backend servers repeatedly. */
    public data class Quarantined(
        public val remaining: Duration,
    ) : CrashVerdict
}
