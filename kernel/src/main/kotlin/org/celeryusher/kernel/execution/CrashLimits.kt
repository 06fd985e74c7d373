package org.celeryusher.kernel.execution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Limits on what [CrashSuspects] keeps. */
public data class CrashLimits(
    /** How long a request runs exclusively after a crash that it may have caused. */
    public val suspicion: Duration = 10.minutes,
    public val maximumQuarantine: Duration = 24.hours,
    public val maximumCrashes: Int = 1_024,
    public val maximumSuspectsPerCrash: Int = 64,
    /** The time for which a completion shows that a request is not the cause of a crash that follows. */
    public val completionMemory: Duration = 5.seconds,
    public val maximumCompletions: Int = 8_192,
    /** How long the entry of an expired crash is kept, so that a report in transit does not restore it. */
    public val retentionAfterEnd: Duration = 30.seconds,
)
