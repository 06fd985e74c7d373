package org.celeryusher.node.command

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.Resend
import org.celeryusher.kernel.error.RunStatus

/** Prints the page docs/errors.md, which is generated from the table of error kinds. */
public class ErrorsCommand : Command {
    override val name: String get() = "errors"
    override val summary: String get() = "Prints the table of error kinds as the page docs/errors.md."

    override fun run(
        arguments: List<String>,
        output: CommandOutput,
    ): ExitStatus =
        withOptions(this, CommonOptions(), arguments, output) {
            output.standard.print(page())
            ExitStatus.OK
        }

    /** Returns the page as Markdown. */
    public fun page(): String =
        buildString {
            appendLine("# Errors")
            appendLine()
            appendLine("Made by `./celeryusher errors > docs/errors.md` from the table in `ErrorKind`; a test fails when the two differ.")
            appendLine()
            appendLine("An error answer names its kind in the header `Celeryusher-Error` and says in `Celeryusher-Run-Status` what is")
            appendLine("known about the work. Its JSON body has `error`, `meaning`, `detail`, `runStatus` and `resend`.")
            appendLine()
            appendLine("| Run status | What it says |")
            appendLine("| --- | --- |")
            RunStatus.entries.forEach { appendLine("| `${it.headerValue}` | ${meaningOf(it)} |") }
            appendLine()
            appendLine("| May be sent again | When |")
            appendLine("| --- | --- |")
            Resend.entries.forEach { appendLine("| ${displayName(it)} | ${meaningOf(it)} |") }
            appendLine()
            appendLine("| Kind | HTTP status | Run status | May be sent again | Meaning |")
            appendLine("| --- | --- | --- | --- | --- |")
            ErrorKind.entries.forEach { appendLine(row(it)) }
        }

    private fun row(kind: ErrorKind): String =
        "| `${kind.name}` | ${kind.httpStatus} | `${kind.runStatus.headerValue}` | ${displayName(kind.resend)} | ${kind.meaning} |"

    private fun meaningOf(status: RunStatus): String =
        when (status) {
            RunStatus.RAN -> "The backend server executed the work."
            RunStatus.NOT_RUN -> "It is proven that the work did not run and that no late copy of the attempt can run."
            RunStatus.UNKNOWN -> "The work may or may not have run."
        }

    private fun displayName(resend: Resend): String =
        when (resend) {
            Resend.NOW -> "now"
            Resend.LATER -> "later"
            Resend.IF_IDEMPOTENT -> "if idempotent"
            Resend.NEVER -> "never"
        }

    private fun meaningOf(resend: Resend): String =
        when (resend) {
            Resend.NOW -> "At once, through any node."
            Resend.LATER -> "After the time that the header `Retry-After` gives."
            Resend.IF_IDEMPOTENT -> "Only when the work is idempotent, or with the same ticket."
            Resend.NEVER -> "Not without a change of the request."
        }
}
