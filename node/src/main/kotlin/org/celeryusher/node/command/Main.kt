package org.celeryusher.node.command

import java.util.ServiceLoader
import kotlin.system.exitProcess

/** Runs the command that [arguments] name, and ends the process with its exit status. */
public fun main(arguments: Array<String>) {
    val output = CommandOutput(System.out, System.err)
    val status = CommandLine(ServiceLoader.load(Command::class.java).toList()).run(arguments.toList(), output)
    System.out.flush()
    exitProcess(status.code)
}
