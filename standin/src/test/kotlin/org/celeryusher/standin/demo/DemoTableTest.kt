package org.celeryusher.standin.demo

import org.celeryusher.kernel.identity.RankName
import org.celeryusher.standin.load.RankResult
import org.celeryusher.standin.load.RefusalCount
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class DemoTableTest {
    private val rank =
        RankResult(RankName("lookups"), 8, 6, 1, 0, 1, 0, 2, 1.5, 20.25, listOf(RefusalCount("OVERLOADED", 1)))

    private fun report(vararg held: Boolean): DemoReport =
        DemoReport(
            deployment = "antwerp",
            nodes = 13,
            seconds = 20,
            publications =
                listOf(
                    PublicationResult(2, "a change", 120),
                    PublicationResult(3, "a bad change", null, listOf("$.version: is wrong")),
                    PublicationResult(4, "a slow change", null),
                ),
            control = ControlCost(100, 0.5, 20, null),
            ranks = listOf(rank),
            onceWorks = 4,
            maximumRunsPerWork = 1,
            promises = held.map { PromiseResult("a promise", it, "seen") },
        )

    @Test
    fun allHeldRequiresEveryPromise() {
        val cases = listOf(booleanArrayOf() to true, booleanArrayOf(true, true) to true, booleanArrayOf(true, false) to false)
        for ((held, all) in cases) assertEquals(all, report(*held).allHeld, held.toList().toString())
    }

    @Test
    fun rendersEachPartOfTheReport() {
        val table = DemoTable.render(report(true, false))
        val lines =
            listOf(
                "2        a change       120 ms",
                "3        a bad change   refused",
                "4        a slow change  not on all",
                "version 3: $.version: is wrong",
                "platform calls: 100, 0.50 a node and second, at most 20 in one second",
                "control bytes a node and second: not reported by the nodes",
                "lookups  8      75.00 %  1     1        0        2           1.50    20.25",
                "lookups  OVERLOADED               1",
                "4 works, 1 at most for one work",
                "a promise  held    seen",
                "a promise  BROKEN  seen",
            )
        for (line in lines) assertContains(table, line)
    }
}
