package org.celeryusher.node.command

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Path
import java.util.ServiceLoader
import kotlin.io.path.readText

/** How one command line ended, and what it printed. */
data class CommandRun(
    val status: ExitStatus,
    val standard: String,
    val error: String,
)

/** Runs the command line [arguments] with the commands that register themselves. */
fun runCommandLine(arguments: List<String>): CommandRun {
    val standard = ByteArrayOutputStream()
    val error = ByteArrayOutputStream()
    val status =
        CommandLine(ServiceLoader.load(Command::class.java).toList())
            .run(arguments, CommandOutput(PrintStream(standard, true), PrintStream(error, true)))
    return CommandRun(status, standard.toString(), error.toString())
}

/** Returns the path of [file], given from the root of the project. */
fun projectFile(file: String): Path = Path.of(System.getProperty("basedir", ".")).resolve("..").resolve(file)

/** Returns the text of [file], given from the root of the project. */
fun projectText(file: String): String = projectFile(file).readText()
