package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.distribution.OldConfigurationReason.NEWER_VERSION_KNOWN
import org.celeryusher.kernel.distribution.OldConfigurationReason.PAUSED
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationLimitTest {
    private val none = ConfigurationUse.None(NEWER_VERSION_KNOWN)
    private val paused = ConfigurationUse.None(PAUSED)

    /** Guards against nodes that decide by a version that they know, or can tell, to be older than allowed. */
    @Test
    fun whatMayBeDecidedFollowsFromTheAgeAndFromWhatIsKnownOfTheFleet() {
        val old = 2_501.milliseconds
        val cases =
            listOf(
                null to ConfigurationUse.Full,
                ConfigurationRecency(Duration.ZERO, Duration.ZERO) to ConfigurationUse.Full,
                ConfigurationRecency(2_500.milliseconds, 1.seconds, behindFor = 2.seconds) to ConfigurationUse.Full,
                ConfigurationRecency(2_500.milliseconds, 1.seconds, pausedAge = Duration.ZERO) to ConfigurationUse.Full,
                ConfigurationRecency(null, null) to ConfigurationUse.KnownRoutes,
                ConfigurationRecency(old, Duration.ZERO) to ConfigurationUse.KnownRoutes,
                ConfigurationRecency(1.seconds * 60, 1.seconds * 60) to ConfigurationUse.KnownRoutes,
                ConfigurationRecency(old, Duration.ZERO, behindFor = 250.milliseconds) to ConfigurationUse.KnownRoutes,
                ConfigurationRecency(old, Duration.ZERO, behindFor = 251.milliseconds) to none,
                ConfigurationRecency(old, 1.seconds, pausedAge = 900.milliseconds) to paused,
                ConfigurationRecency(old, null, pausedAge = 900.milliseconds) to paused,
                ConfigurationRecency(old, 800.milliseconds, pausedAge = 900.milliseconds) to ConfigurationUse.KnownRoutes,
                ConfigurationRecency(1.seconds * 60, 1.seconds * 60, pausedAge = old) to ConfigurationUse.KnownRoutes,
                ConfigurationRecency(old, 1.seconds, behindFor = 1.seconds, pausedAge = 900.milliseconds) to none,
            )
        val limit = ConfigurationLimit(2_500.milliseconds)
        for ((recency, expected) in cases) assertEquals(expected, limit.useOf(recency), "$recency")
    }
}
