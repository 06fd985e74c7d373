package org.celeryusher.kernel.configuration

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class DocumentNamesTest {
    private val random = Random(1)

    private val texts: List<String> =
        listOf("", "/", "//", "/a", "/a/", "/a//b", "a/", "/.", "/..", "-a", "a-", "a.b", "a_b", "\u00e9", "a\n", "\n")
            .plus(listOf(62, 63, 64, 252, 253, 254).map { "a".repeat(it) })
            .plus(List(20_000) { List(random.nextInt(1, 7)) { ALPHABET.random(random) }.joinToString("") })

    private fun checkForm(
        pattern: Regex,
        isValid: (String) -> Boolean,
    ): Unit = texts.forEach { assertEquals(pattern.matches(it), isValid(it), "\"$it\"") }

    @Test
    fun aNameStartsWithALetterOrDigit(): Unit = checkForm(Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"), DocumentNames::isName)

    @Test
    fun aHostStartsAndEndsWithALetterOrDigit(): Unit = checkForm(Regex("[a-z0-9]([a-z0-9._-]{0,251}[a-z0-9])?"), DocumentNames::isHost)

    @Test
    fun aPathPrefixHasNoEmptySegment(): Unit = checkForm(Regex("/|(/[A-Za-z0-9._~%:@-]+)+/?"), DocumentNames::isPathPrefix)

    @Test
    fun aMemberWithAPlainNameIsNotQuoted(): Unit = checkForm(Regex("[A-Za-z_][A-Za-z0-9_-]*")) { JsonPath.ROOT.member(it).text == "$.$it" }

    private companion object {
        const val ALPHABET = "aZ09._-~%:@/ +\u00e9[\n"
    }
}
