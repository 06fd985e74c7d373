package org.celeryusher.node.command

private val controlCharacters = Regex("""\p{Cntrl}""")

/** Returns [text] as one line that is safe on a terminal: each control character becomes a question mark. */
internal fun printableLine(text: String): String = text.replace(controlCharacters, "?")
