package org.celeryusher.standin.report

/** Formats rows of cells as a text table. Each column is as wide as its widest cell. */
public class TextTable(
    private val header: List<String>,
) {
    private val rows = mutableListOf<List<String>>()

    /** Adds a row, which must have as many [cells] as the header. A null cell is shown as `-`. */
    public fun addRow(vararg cells: Any?) {
        require(cells.size == header.size) { "row has ${cells.size} cells, but the table has ${header.size} columns" }
        rows += cells.map { it?.toString() ?: "-" }
    }

    override fun toString(): String {
        val lines = listOf(header) + rows
        val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { line ->
            line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
