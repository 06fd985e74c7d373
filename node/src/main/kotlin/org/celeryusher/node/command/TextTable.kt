package org.celeryusher.node.command

/** Formats rows of text in aligned columns. */
internal class TextTable(
    private val titles: List<String>,
    private val rows: List<List<String>>,
) {
    /** Returns the lines of the table, the titles first and without trailing spaces. */
    fun lines(): List<String> {
        val printableRows = (listOf(titles) + rows).map { row -> row.map(::printableLine) }
        val widths = titles.indices.map { column -> printableRows.maxOf { it[column].length } }
        return printableRows.map { row -> row.mapIndexed { column, text -> text.padEnd(widths[column]) }.joinToString("  ").trimEnd() }
    }
}
