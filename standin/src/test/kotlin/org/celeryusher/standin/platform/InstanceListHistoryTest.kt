package org.celeryusher.standin.platform

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class InstanceListHistoryTest {
    private val address = Address("127.0.0.1", 1)
    private val first = PlatformInstance(InstanceName("a"), ServiceName("s"), DataCentreName("d"), address, address, address)

    @Test
    fun listIsVisibleAfterTheLag() {
        val history = InstanceListHistory()
        history.replace(listOf(first), Moment(0) + 10.seconds)
        history.markLeaving(first.instance, Moment(0) + 20.seconds)
        history.markLeaving(InstanceName("unknown"), Moment(0) + 21.seconds)
        val cases =
            listOf(
                Triple(9.seconds, Duration.ZERO, 0L),
                Triple(10.seconds, Duration.ZERO, 1L),
                Triple(14.seconds, 5.seconds, 0L),
                Triple(24.seconds, 5.seconds, 1L),
                Triple(25.seconds, 5.seconds, 2L),
            )
        for ((now, lag, revision) in cases) assertEquals(revision, history.visibleAt(Moment(0) + now, lag).revision, "at $now, lag $lag")
        assertEquals(
            PlatformInstanceState.LEAVING,
            history.current.instances
                .single()
                .state,
        )
    }
}
