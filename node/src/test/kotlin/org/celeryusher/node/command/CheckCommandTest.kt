package org.celeryusher.node.command

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CheckCommandTest {
    private data class Faulty(
        val old: String,
        val new: String,
        val path: String,
        val offendingValue: String,
    )

    private val example = projectText("examples/antwerp.json")

    private val reason = Regex("\"A yearly archive [^\"]*\"").find(example)!!.value

    private val faultyDocuments =
        listOf(
            Faulty("\"version\": 1,", "\"version\": -3,", "$.version", "-3"),
            Faulty("\"version\": 1,", "\"version\": \"next\",", "$.version", "\"next\""),
            Faulty("\"version\": 1,", "", "$.version", "nothing"),
            Faulty("\"version\": 1,", "\"version\": 1, \"site\": \"Antwerp\",", "$.site", "\"Antwerp\""),
            Faulty("\"deadlineMilliseconds\": 2000", "\"deadlineMilliseconds\": 0", "$.defaults.deadlineMilliseconds", "0"),
            Faulty("\"maximumAttempts\": 3", "\"maximumAttempts\": 99", "$.defaults.maximumAttempts", "99"),
            Faulty("\"retryBudgetShare\": 0.1", "\"retryBudgetShare\": 2", "$.defaults.retryBudgetShare", "2.0"),
            Faulty("\"drainLimitMilliseconds\"", "\"drainLimit\"", "$.defaults.drainLimit", "10000"),
            Faulty("\"guaranteedShare\": 0.34", "\"guaranteedShare\": 0.94", "$.ranks", "1.35"),
            Faulty("\"guaranteedShare\": 0.25", "\"guaranteedShare\": -0.25", "$.ranks[1].guaranteedShare", "-0.25"),
            Faulty("\"name\": \"lookups\"", "\"name\": \"look ups\"", "$.ranks[1].name", "\"look ups\""),
            Faulty("\"name\": \"tariffs\", \"gu", "\"name\": \"archives\", \"gu", "$.ranks[3].name", "\"archives\""),
            Faulty("\"slots\": 6", "\"slots\": 0", "$.services[0].slots", "0"),
            Faulty("\"connections\": 130", "\"connections\": 5", "$.services[0].connections", "5"),
            Faulty("\"slots\": 6", "\"slots\": 6.5", "$.services[0].slots", "6.5"),
            Faulty("\"method\": \"POST\"", "\"method\": \"Post\"", "$.routes[0].method", "\"Post\""),
            Faulty("\"/readings\"", "\"readings\"", "$.routes[3].pathPrefix", "\"readings\""),
            Faulty("\"/readings\"", "\"/invoices\"", "$.routes[3].pathPrefix", "\"/invoices\""),
            Faulty("\"service\": \"records-hub\", \"rank\"", "\"service\": \"hub\", \"rank\"", "$.routes[5].service", "\"hub\""),
            Faulty("\"rank\": \"lookups\"", "\"rank\": \"lookup\"", "$.routes[2].rank", "\"lookup\""),
            Faulty("\"idempotent\": false", "\"idempotent\": 0", "$.routes[0].idempotent", "0"),
            Faulty("\"maximumAttempts\": 2 }", "\"maximumAttempts\": null }", "$.routes[5].settings.maximumAttempts", "null"),
            Faulty("{ \"service\": \"records-hub\" }", "{}", "$.exceptions[0].scope", "{}"),
            Faulty("\"route\": \"archives\" }", "\"route\": \"archive\" }", "$.exceptions[1].scope.route", "\"archive\""),
            Faulty("{ \"drainLimitMilliseconds\": 40000 }", "{}", "$.exceptions[0].change", "{}"),
            Faulty(reason, "\" \"", "$.exceptions[0].reason", "\" \""),
            Faulty(",\n      \"reason\": $reason", "", "$.exceptions[0].reason", "nothing"),
            Faulty("  \"exceptions\": [", "  \"exceptions\": [[],", "$.exceptions[0]", "[]"),
        )

    @Test
    fun eachFaultyDocumentIsRefusedOnOneLineWithPathAndOffendingValue() {
        for (case in faultyDocuments) {
            assertTrue(case.old in example, "nothing to replace: $case")
            val run = checkText(example.replaceFirst(case.old, case.new))
            assertEquals(ExitStatus.WRONG, run.status, "$case")
            val line = run.standard.lines().find { "json: ${case.path}: " in it }
            assertTrue(line != null && "(found ${case.offendingValue})" in line, "$case: ${run.standard}")
        }
    }

    @Test
    fun allFaultsOfOneDocumentArePrinted() {
        val cases = listOf(faultyDocuments[0], faultyDocuments[12], faultyDocuments[19], faultyDocuments[25])
        val run = checkText(cases.fold(example) { text, case -> text.replaceFirst(case.old, case.new) })
        assertEquals(ExitStatus.WRONG, run.status)
        for (case in cases) assertTrue(": ${case.path}: " in run.standard, "${case.path}: ${run.standard}")
    }

    @Test
    fun controlCharactersOfADocumentDoNotReachTheTerminal() {
        val run = checkText("\u001B[2J")
        assertEquals(ExitStatus.WRONG, run.status)
        assertTrue('\u001B' !in run.standard, run.standard)
        assertEquals(
            1,
            run.standard
                .trimEnd()
                .lines()
                .size,
        )
    }

    @Test
    fun theExamplesAreValid() {
        for (name in listOf("antwerp", "sierra")) {
            val run = runCommandLine(listOf("check", projectFile("examples/$name.json").toString()))
            assertEquals(ExitStatus.OK, run.status, run.standard)
            assertTrue("version 1 is valid" in run.standard, run.standard)
        }
    }

    private fun checkText(text: String): CommandRun {
        val file: Path = Files.createTempFile("document", ".json")
        try {
            file.writeText(text)
            return runCommandLine(listOf("check", file.toString()))
        } finally {
            file.deleteIfExists()
        }
    }
}
