package org.celeryusher.node.command

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Path
import java.util.ServiceLoader
import kotlin.io.path.readText

/** The exit status and the output of one command line. */
data class CommandRun(
    val status: ExitStatus,
    val standard: String,
    val error: String,
)

/** Runs the command line [arguments] with the registered commands. */
fun runCommandLine(arguments: List<String>): CommandRun {
    val standard = ByteArrayOutputStream()
    val error = ByteArrayOutputStream()
    val status =
        CommandLine(ServiceLoader.load(Command::class.java).toList())
            .run(arguments, CommandOutput(PrintStream(standard, true), PrintStream(error, true)))
    return CommandRun(status, standard.toString(), error.toString())
}

/** Returns the path of [file], which is relative to the root of the project. */
fun projectFile(file: String): Path = Path.of(System.getProperty("basedir", ".")).resolve("..").resolve(file)

/** Returns the text of [file], whose path is relative to the root of the project. */
fun projectText(file: String): String = projectFile(file).readText()
