package org.celeryusher.kernel.configuration

/** The forms of the names in a configuration document. Written without regular expressions, which are slow in a process that has just started. */
internal object DocumentNames {
    private const val MAXIMUM_NAME_CHARACTERS = 63
    private const val MAXIMUM_HOST_CHARACTERS = 253

    /** Returns whether [text] has 1 to 63 letters, digits, dots, underscores or hyphens, and starts with a letter or digit. */
    fun isName(text: String): Boolean =
        text.length in 1..MAXIMUM_NAME_CHARACTERS && isLetterOrDigit(text[0]) && text.all { isLetterOrDigit(it) || it in "._-" }

    /** Returns whether [text] is a lower-case host name without a port, which starts and ends with a letter or digit. */
    fun isHost(text: String): Boolean =
        text.length in 1..MAXIMUM_HOST_CHARACTERS &&
            isLowerCaseOrDigit(text.first()) &&
            isLowerCaseOrDigit(text.last()) &&
            text.all { isLowerCaseOrDigit(it) || it in "._-" }

    /** Returns whether [text] is a slash, or segments that each follow a slash, with or without another slash at the end. */
    fun isPathPrefix(text: String): Boolean =
        text.startsWith('/') && "//" !in text && text.all { it == '/' || isLetterOrDigit(it) || it in "._~%:@-" }

    private fun isLetterOrDigit(character: Char): Boolean = isLowerCaseOrDigit(character) || character in 'A'..'Z'

    private fun isLowerCaseOrDigit(character: Char): Boolean = character in 'a'..'z' || character in '0'..'9'
}
