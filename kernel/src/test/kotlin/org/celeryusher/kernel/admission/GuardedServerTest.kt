package org.celeryusher.kernel.admission

import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against calls for one server that another one runs, and against statements of a server that is no longer there. */
class GuardedServerTest {
    private val first = InstanceName("a")
    private val second = InstanceName("b")

    @Test
    fun anotherServerOrAnotherProcessOfItTakesItsPlace() {
        data class Case(
            val name: String,
            val server: InstanceName?,
            val process: Incarnation?,
            val isChange: Boolean,
        )
        val cases =
            listOf(
                Case("the same process", first, Incarnation(1), isChange = false),
                Case("a process that is not listed", first, null, isChange = false),
                Case("another process", first, Incarnation(2), isChange = true),
                Case("another server", second, Incarnation(1), isChange = true),
                Case("no server", null, null, isChange = true),
            )
        for (case in cases) {
            val server = GuardedServer(first)
            assertEquals(false, server.change(first, Incarnation(1)), "the process becomes known")
            server.state(first, ServerNotice(isLeaving = true))
            assertEquals(case.isChange, server.change(case.server, case.process), case.name)
            assertEquals(if (case.isChange) null else first, server.leaving, case.name)
        }
    }

    @Test
    fun onlyTheCurrentServerCountsAndLeavingIsNotTakenBack() {
        val server = GuardedServer(first)
        val cases =
            listOf(
                Triple(second, ServerNotice(requestsPerSecond = 1.0), ServerNotice()),
                Triple(first, ServerNotice(requestsPerSecond = 9.0), ServerNotice(requestsPerSecond = 9.0)),
                Triple(null, ServerNotice(isLeaving = true), ServerNotice(isLeaving = true)),
                Triple(first, ServerNotice(requestsPerSecond = 2.0), ServerNotice(requestsPerSecond = 2.0, isLeaving = true)),
                Triple(second, ServerNotice(), ServerNotice(requestsPerSecond = 2.0, isLeaving = true)),
            )
        for ((statedBy, stated, expected) in cases) {
            assertEquals(statedBy != second, server.state(statedBy, stated), "$stated by $statedBy")
            assertEquals(expected, server.notice, "$stated by $statedBy")
        }
    }
}
