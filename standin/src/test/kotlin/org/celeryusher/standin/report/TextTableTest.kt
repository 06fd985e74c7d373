package org.celeryusher.standin.report

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class TextTableTest {
    @Test
    fun columnsAreAsWideAsTheirWidestCell() {
        val table = TextTable(listOf("rank", "calls"))
        table.addRow("lookups", 7)
        table.addRow("a", null)
        assertEquals("rank     calls\nlookups  7\na        -", table.toString())
        assertFailsWith<IllegalArgumentException> { table.addRow("one cell") }
    }
}
