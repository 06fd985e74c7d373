package org.celeryusher.standin.platform

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.seconds

/** The kinds of calls that the platform counts. */
public enum class PlatformCallKind {
    CONFIGURATION_READ,
    WATCH,
    INSTANCE_LIST,
}

/** The calls that a platform's stand-in has received; a waiting watch is one call. Refused calls are counted by their kind as well. */
@Serializable
public data class PlatformCallCounts(
    public val configurationReads: Long = 0,
    public val watches: Long = 0,
    public val instanceLists: Long = 0,
    public val refused: Long = 0,
    public val maximumPerSecond: Long = 0,
) {
    /** All calls. */
    public val total: Long get() = configurationReads + watches + instanceLists
}

/** Counts calls by kind and by second, and refuses those over [maximumPerSecond] in one second. */
internal class PlatformCallCounter(
    private val maximumPerSecond: Int,
) {
    private var counts = PlatformCallCounts()
    private var currentSecond = Long.MIN_VALUE
    private var callsInSecond = 0L

    /** Counts one call at [now] and returns whether it is within the rate. */
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
        counts = counted(kind, admitted)
        return admitted
    }

    @Synchronized
    fun snapshot(): PlatformCallCounts = counts

    private fun counted(
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
