package org.celeryusher.node.command

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that `celeryusher check` reports every fault of a document, with its path and value, and accepts the examples. */
class CheckCommandTest {
    private data class FaultCase(
        val old: String,
        val new: String,
        val path: String,
        val offendingValue: String,
    )

    private val example = projectText("examples/antwerp.json")

    private val reason = Regex("\"A yearly archive [^\"]*\"").find(example)!!.value

    private val faultyDocuments =
        listOf(
            FaultCase("\"version\": 1,", "\"version\": -3,", "$.version", "-3"),
            FaultCase("\"version\": 1,", "\"version\": \"next\",", "$.version", "\"next\""),
            FaultCase("\"version\": 1,", "", "$.version", "nothing"),
            FaultCase("\"version\": 1,", "\"version\": 1, \"site\": \"Antwerp\",", "$.site", "\"Antwerp\""),
            FaultCase("\"deadlineMilliseconds\": 2000", "\"deadlineMilliseconds\": 0", "$.defaults.deadlineMilliseconds", "0"),
            FaultCase("\"maximumAttempts\": 3", "\"maximumAttempts\": 99", "$.defaults.maximumAttempts", "99"),
            FaultCase("\"retryBudgetShare\": 0.1", "\"retryBudgetShare\": 2", "$.defaults.retryBudgetShare", "2.0"),
            FaultCase("\"drainLimitMilliseconds\"", "\"drainLimit\"", "$.defaults.drainLimit", "10000"),
            FaultCase("\"guaranteedShare\": 0.34", "\"guaranteedShare\": 0.94", "$.ranks", "1.35"),
            FaultCase("\"guaranteedShare\": 0.25", "\"guaranteedShare\": -0.25", "$.ranks[1].guaranteedShare", "-0.25"),
            FaultCase("\"name\": \"lookups\"", "\"name\": \"look ups\"", "$.ranks[1].name", "\"look ups\""),
            FaultCase("\"name\": \"tariffs\", \"gu", "\"name\": \"archives\", \"gu", "$.ranks[3].name", "\"archives\""),
            FaultCase("\"slots\": 6", "\"slots\": 0", "$.services[0].slots", "0"),
            FaultCase("\"connections\": 130", "\"connections\": 5", "$.services[0].connections", "5"),
            FaultCase("\"slots\": 6", "\"slots\": 6.5", "$.services[0].slots", "6.5"),
            FaultCase("\"method\": \"POST\"", "\"method\": \"Post\"", "$.routes[0].method", "\"Post\""),
            FaultCase("\"/readings\"", "\"readings\"", "$.routes[3].pathPrefix", "\"readings\""),
            FaultCase("\"/readings\"", "\"/invoices\"", "$.routes[3].pathPrefix", "\"/invoices\""),
            FaultCase("\"service\": \"records-hub\", \"rank\"", "\"service\": \"hub\", \"rank\"", "$.routes[5].service", "\"hub\""),
            FaultCase("\"rank\": \"lookups\"", "\"rank\": \"lookup\"", "$.routes[2].rank", "\"lookup\""),
            FaultCase("\"idempotent\": false", "\"idempotent\": 0", "$.routes[0].idempotent", "0"),
            FaultCase("\"maximumAttempts\": 2 }", "\"maximumAttempts\": null }", "$.routes[5].settings.maximumAttempts", "null"),
            FaultCase("{ \"service\": \"records-hub\" }", "{}", "$.exceptions[0].scope", "{}"),
            FaultCase("\"route\": \"archives\" }", "\"route\": \"archive\" }", "$.exceptions[1].scope.route", "\"archive\""),
            FaultCase("{ \"drainLimitMilliseconds\": 40000 }", "{}", "$.exceptions[0].change", "{}"),
            FaultCase(reason, "\" \"", "$.exceptions[0].reason", "\" \""),
            FaultCase(",\n      \"reason\": $reason", "", "$.exceptions[0].reason", "nothing"),
            FaultCase("  \"exceptions\": [", "  \"exceptions\": [[],", "$.exceptions[0]", "[]"),
        )

    @Test
    fun eachFaultIsPrintedOnOneLineWithItsPathAndValue() {
        for (case in faultyDocuments) {
            assertTrue(case.old in example, "the example does not contain the text to replace: $case")
            val run = checkText(example.replaceFirst(case.old, case.new))
            assertEquals(ExitStatus.FAILURE, run.status, "$case")
            val line = run.standard.lines().find { "json: ${case.path}: " in it }
            assertTrue(line != null && "(found ${case.offendingValue})" in line, "$case: ${run.standard}")
        }
    }

    @Test
    fun allFaultsOfOneDocumentArePrinted() {
        val cases = listOf(faultyDocuments[0], faultyDocuments[12], faultyDocuments[19], faultyDocuments[25])
        val run = checkText(cases.fold(example) { text, case -> text.replaceFirst(case.old, case.new) })
        assertEquals(ExitStatus.FAILURE, run.status)
        for (case in cases) assertTrue(": ${case.path}: " in run.standard, "${case.path}: ${run.standard}")
    }

    @Test
    fun controlCharactersOfADocumentAreNotPrinted() {
        val run = checkText("\u001B[2J")
        assertEquals(ExitStatus.FAILURE, run.status)
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
