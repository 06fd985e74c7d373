package org.celeryusher.node.control

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.PlatformInstance
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.kernel.membership.PlatformInstanceState
import org.celeryusher.kernel.time.Moment
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InstanceListHolderTest {
    private val address = Address("10.0.0.1", 1)

    private fun list(
        revision: Long,
        vararg instances: Pair<String, PlatformInstanceState>,
    ) = PlatformInstanceList(
        revision,
        instances.map { (name, state) ->
            val entry = ControlNode.settingsOf(1, address, address, emptyList(), null).listed(state)
            entry.copy(instance = InstanceName(name))
        },
    )

    private fun holderOf(vararg lists: PlatformInstanceList) = InstanceListHolder(1.seconds).apply { lists.forEach(::update) }

    private val live = PlatformInstanceState.LIVE
    private val leaving = PlatformInstanceState.LEAVING
    private val first = list(1, "a" to live, "b" to live, "c" to live)
    private val second = list(2, "a" to live, "b" to leaving, "d" to live)

    @Test
    fun aDeltaFromAKeptListResultsInTheNewestList() {
        val transfer = assertNotNull(holderOf(first, second).transferFor(1))
        assertEquals(listOf("b", "d"), transfer.changed.map { it.instance.value })
        assertEquals(listOf("c"), transfer.removed.map { it.value })
        assertEquals(second, holderOf(first).apply(transfer))
        assertNull(holderOf().apply(transfer), "the base is not held")
        assertEquals(second, holderOf().apply(assertNotNull(holderOf(first, second).transferFor(null))))
        assertEquals(3, holderOf(first).transferFor(null)?.changed?.size)
        assertNull(holderOf().transferFor(1))
    }

    @Test
    fun onlyANewerListIsAppliedAndPulled() {
        val holder = holderOf(second)
        assertFalse(holder.update(first))
        assertEquals(emptyList<PlatformInstance>(), holder.transferFor(3)?.changed)
        assertFalse(holder.shouldPull(2, Moment(0)))
        assertTrue(holder.shouldPull(3, Moment(0)))
        assertFalse(holder.shouldPull(4, Moment(0) + 999.milliseconds), "one pull per interval")
        assertTrue(holder.shouldPull(4, Moment(0) + 1.seconds))
    }
}
