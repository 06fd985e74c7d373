package org.celeryusher.standin.platform

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/** Kinds of calls to the platform, which are counted separately. */
public enum class PlatformCallKind {
    CONFIGURATION_READ,
    WATCH,
    INSTANCE_LIST,
}

/** Numbers of calls that a platform stand-in has received. A watch is one call. Refused calls are also counted under their kind. */
@Serializable
public data class PlatformCallCounts(
    public val configurationReads: Long = 0,
    public val watches: Long = 0,
    public val instanceLists: Long = 0,
    public val refused: Long = 0,
    public val maximumPerSecond: Long = 0,
) {
    /** The number of calls of all kinds. */
    public val total: Long get() = configurationReads + watches + instanceLists
}

/** Counts calls by kind, tracks the peak number per second, and refuses calls that exceed [maximumPerSecond] within one second. */
internal class PlatformCallCounter(
    private val maximumPerSecond: Int,
) {
    private var counts = PlatformCallCounts()
    private var currentSecond = Long.MIN_VALUE
    private var callsInSecond = 0L

    /** Counts a call received at [now] and returns whether it is within the rate limit. */
    @Synchronized
    fun admit(
        kind: PlatformCallKind,
        now: Moment,
    ): Boolean {
        val second = Math.floorDiv(now.nanoseconds, 1.seconds.inWholeNanoseconds)
        if (second != currentSecond) {
            currentSecond = second
            callsInSecond = 0
        }
        callsInSecond++
        val admitted = callsInSecond <= maximumPerSecond
        counts = countsWith(kind, admitted)
        return admitted
    }

    @Synchronized
    fun snapshot(): PlatformCallCounts = counts

    private fun countsWith(
        kind: PlatformCallKind,
        admitted: Boolean,
    ): PlatformCallCounts {
        val common =
            counts.copy(
                refused = counts.refused + if (admitted) 0 else 1,
                maximumPerSecond = maxOf(counts.maximumPerSecond, callsInSecond),
            )
        return when (kind) {
            PlatformCallKind.CONFIGURATION_READ -> common.copy(configurationReads = counts.configurationReads + 1)
            PlatformCallKind.WATCH -> common.copy(watches = counts.watches + 1)
            PlatformCallKind.INSTANCE_LIST -> common.copy(instanceLists = counts.instanceLists + 1)
        }
    }
}
