package org.celeryusher.standin.command

import org.celeryusher.node.command.Command
import org.celeryusher.node.command.CommandLine
import org.celeryusher.node.command.CommandOutput
import org.celeryusher.node.command.ExitStatus
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.ServiceLoader
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class CommandsTest {
    private data class Case(
        val words: String,
        val status: ExitStatus,
        val printed: String,
    )

    @Test
    fun commandsPrintUsageAndReportInvalidArguments() {
        val cases =
            listOf(
                Case("--help", ExitStatus.OK, "demo"),
                Case("standin --help", ExitStatus.OK, "platform|server"),
                Case("standin", ExitStatus.USAGE, "\"\" is not a stand-in"),
                Case("standin broker", ExitStatus.USAGE, "\"broker\" is not a stand-in"),
                Case("standin platform --port x", ExitStatus.USAGE, "--port"),
                Case("standin platform --configuration /no/such/file", ExitStatus.USAGE, "\"/no/such/file\""),
                Case("standin server --help", ExitStatus.OK, "--crash-marker"),
                Case("demo --deployment gent", ExitStatus.USAGE, "\"gent\""),
                Case("demo --seconds 1", ExitStatus.USAGE, "--seconds 1"),
                Case("measure", ExitStatus.USAGE, "\"\" is not one of"),
                Case("measure speed", ExitStatus.USAGE, "\"speed\" is not one of"),
                Case("measure latency --deployment gent", ExitStatus.USAGE, "\"gent\""),
                Case("measure convergence --nodes 13,x", ExitStatus.USAGE, "\"13,x\""),
                Case("measure latency --help", ExitStatus.OK, "--calls"),
                Case("demo --help", ExitStatus.OK, "--deployment"),
            )
        val commands = CommandLine(ServiceLoader.load(Command::class.java).toList())
        for (case in cases) {
            val printed = ByteArrayOutputStream()
            val stream = PrintStream(printed)
            assertEquals(case.status, commands.run(case.words.split(' '), CommandOutput(stream, stream)), case.words)
            assertContains(printed.toString(), case.printed)
        }
    }
}
