package org.celeryusher.node.command

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.extension
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that no link between the pages of the documentation is broken by a moved or renamed page. */
class DocumentationTest {
    private val link = Regex("""]\(([^)#:]+)(#[^)]*)?\)""")

    @Test
    fun everyLinkBetweenPagesTargetsAnExistingFile() {
        val pages =
            listOf(projectFile("README.md")) + Files.walk(projectFile("docs")).use { all -> all.filter { it.extension == "md" }.toList() }
        assertTrue(pages.size > 5, "$pages")
        val broken = pages.flatMap { page -> targetsOf(page).filterNot { page.resolveSibling(it).exists() }.map { "$page: $it" } }
        assertEquals(emptyList(), broken)
    }

    private fun targetsOf(page: Path): List<String> = link.findAll(page.readText()).map { it.groupValues[1] }.toList()
}
