package org.celeryusher.node.command

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandLineTest {
    private data class Case(
        val arguments: List<String>,
        val status: ExitStatus,
        val fragments: List<String>,
    ) {
        constructor(words: String, status: ExitStatus, vararg fragments: String) :
            this(words.split(' ').filter(String::isNotEmpty), status, fragments.toList())
    }

    private val document = projectFile("examples/antwerp.json").toString()
    private val place = "--instance records-hub-1 --service records-hub --data-centre antwerp-4"

    @Test
    fun eachCommandLineReturnsItsStatusAndPrintsItsText() {
        val cases =
            listOf(
                Case("", ExitStatus.USAGE, "usage: celeryusher COMMAND", "check", "explain", "status", "node"),
                Case("--help", ExitStatus.OK, "usage: celeryusher COMMAND"),
                Case("--version", ExitStatus.OK, "celeryusher "),
                Case("chek", ExitStatus.USAGE, "there is no command \"chek\""),
                Case("check", ExitStatus.USAGE, "FILE"),
                Case("check --help", ExitStatus.OK, "Checks a configuration document", "FILE"),
                Case("check /no/such/file.json", ExitStatus.USAGE, "there is no file \"/no/such/file.json\""),
                Case("check /", ExitStatus.USAGE, "\"/\" is a directory"),
                Case("check --quick $document", ExitStatus.USAGE, "--quick"),
                Case("check $document $document", ExitStatus.USAGE, document),
                Case("errors", ExitStatus.OK, "# Errors"),
                Case("explain", ExitStatus.USAGE, "give FILE or --node HOST:PORT"),
                Case("explain $document", ExitStatus.USAGE, "--instance, --service, --data-centre must be given with FILE"),
                Case("explain $document --instance a --service", ExitStatus.USAGE, "--service"),
                Case("explain $document --node 127.0.0.1:1", ExitStatus.USAGE, "not both"),
                Case("explain --node 127.0.0.1", ExitStatus.USAGE, "\"127.0.0.1\" is not HOST:PORT"),
                Case("explain --node 127.0.0.1:70000", ExitStatus.USAGE, "\"127.0.0.1:70000\" is not HOST:PORT"),
                Case("explain --node 127.0.0.1:7403 $place", ExitStatus.USAGE, "--instance, --service, --data-centre: a node explains"),
                Case("explain --node 127.0.0.1:1", ExitStatus.FAILURE, "127.0.0.1:1 cannot be reached"),
                Case("explain /no/file $place", ExitStatus.USAGE, "there is no file \"/no/file\""),
                Case("explain $document $place --route arch", ExitStatus.USAGE, "--route: \"arch\" is not a route"),
                Case(
                    "explain $document --instance a --service hub --data-centre b",
                    ExitStatus.USAGE,
                    "--service: \"hub\" is not a service",
                ),
                Case(
                    "explain $document $place",
                    ExitStatus.OK,
                    "version 1 at records-hub-1 (service records-hub, data centre antwerp-4)",
                    "deadlineMilliseconds       2000    default",
                    "drainLimitMilliseconds     40000   exception records-hub-long-drain: A yearly archive takes up to 30 s",
                ),
                Case(
                    "explain $document $place --route archives",
                    ExitStatus.OK,
                    "route archives)",
                    "deadlineMilliseconds       45000   exception antwerp-4-slow-line: The housing associations",
                    "maximumAttempts            2       route archives",
                ),
                Case("status", ExitStatus.USAGE, "--node"),
                Case("status --node here", ExitStatus.USAGE, "\"here\" is not HOST:PORT"),
                Case("status --node 127.0.0.1:1", ExitStatus.FAILURE, "127.0.0.1:1 cannot be reached"),
                Case("status --node 127.0.0.1:1 --since never", ExitStatus.USAGE, "--since: \"never\" is not a duration"),
                Case("status --node 127.0.0.1:1 --since -3h", ExitStatus.USAGE, "--since"),
                Case("node", ExitStatus.USAGE, "--settings"),
                Case("node --settings /no/file", ExitStatus.USAGE, "/no/file"),
                Case("node --settings $document", ExitStatus.USAGE, "antwerp.json: $"),
            )
        for (case in cases) {
            val run = runCommandLine(case.arguments)
            val printed = run.standard + run.error
            assertEquals(case.status, run.status, "${case.arguments}: $printed")
            for (fragment in case.fragments) assertContains(printed, fragment, message = "${case.arguments}")
        }
    }

    @Test
    fun theErrorsPageMatchesTheTableOfErrorKinds() {
        assertEquals(ErrorsCommand().page(), projectText("docs/errors.md"), "run: ./celeryusher errors > docs/errors.md")
    }
}
