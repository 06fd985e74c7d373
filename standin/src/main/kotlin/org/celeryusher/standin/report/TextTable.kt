package org.celeryusher.standin.report

/** Lays out rows of words as a table for people; columns are as wide as their widest word. */
public class TextTable(
    private val header: List<String>,
) {
    private val rows = mutableListOf<List<String>>()

    /** Adds one row; it has as many words as the header. */
    public fun row(vararg words: Any?) {
        require(words.size == header.size) { "a row of ${words.size} words in a table of ${header.size} columns" }
        rows += words.map { it?.toString() ?: "-" }
    }

    override fun toString(): String {
        val lines = listOf(header) + rows
        val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
        return lines.joinToString("\n") { line ->
            line.mapIndexed { column, word -> word.padEnd(widths[column]) }.joinToString("  ").trimEnd()
        }
    }
}
