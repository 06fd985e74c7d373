package org.celeryusher.node.command

/** Lays out rows of text in columns; the last column is not padded. */
internal class TextTable(
    private val titles: List<String>,
    private val rows: List<List<String>>,
) {
    /** Returns the lines of the table, titles first. */
    fun lines(): List<String> {
        val all = (listOf(titles) + rows).map { row -> row.map(::printableLine) }
        val widths = titles.indices.map { column -> all.maxOf { it[column].length } }
        return all.map { row -> row.mapIndexed { column, text -> text.padEnd(widths[column]) }.joinToString("  ").trimEnd() }
    }
}
