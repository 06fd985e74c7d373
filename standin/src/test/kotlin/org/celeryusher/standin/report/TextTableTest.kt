package org.celeryusher.standin.report

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class TextTableTest {
    @Test
    fun columnsAreAsWideAsTheirWidestWord() {
        val table = TextTable(listOf("rank", "calls"))
        table.row("lookups", 7)
        table.row("a", null)
        assertEquals("rank     calls\nlookups  7\na        -", table.toString())
        assertFailsWith<IllegalArgumentException> { table.row("one word") }
    }
}
