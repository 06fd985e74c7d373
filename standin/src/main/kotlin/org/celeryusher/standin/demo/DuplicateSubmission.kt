package org.celeryusher.standin.demo

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.celeryusher.standin.fleet.LocalFleet
import org.celeryusher.standin.load.Caller
import org.celeryusher.standin.load.CallerRequest
import org.celeryusher.standin.load.RequestHeader
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** Sends the same work with the same ticket through two nodes concurrently and checks that it ran once. */
internal class DuplicateSubmission(
    private val fleet: LocalFleet,
    private val caller: Caller,
    private val path: String,
) {
    suspend fun send(): PromiseResult =
        try {
            val ticket = requestTicket()
            if (ticket == null) PromiseResult(PROMISE, false, "no node issued a ticket") else sendTwice(ticket)
        } catch (error: IOException) {
            PromiseResult(PROMISE, false, error.toString())
        }

    private suspend fun requestTicket(): String? {
        val request = CallerRequest("POST", "/-/tickets?method=POST&path=$path", DEADLINE)
        val answer =
            caller.send(
                fleet.inUse
                    .first()
                    .node.settings.addresses.callers,
                request,
            )
        if (answer.statusCode() != CREATED) return null
        return Json
            .parseToJsonElement(answer.body().decodeToString())
            .jsonObject["ticket"]
            ?.jsonPrimitive
            ?.content
    }

    private suspend fun sendTwice(ticket: String): PromiseResult =
        coroutineScope {
            val headers = listOf(RequestHeader("Celeryusher-Ticket", ticket), RequestHeader("Idempotency-Key", WORK))
            val request = CallerRequest("POST", "$path/7?work=$WORK", DEADLINE, """{"work":"$WORK"}""".encodeToByteArray(), headers)
            val answers =
                fleet.inUse
                    .takeLast(2)
                    .map { async { caller.send(it.node.settings.addresses.callers, request) } }
                    .awaitAll()
            val runs = fleet.runCounter.runsOf(WORK)
            val statuses = answers.joinToString(" and ") { "${it.statusCode()}" }
            PromiseResult(PROMISE, runs == 1, "$runs run, answers $statuses")
        }

    private companion object {
        const val PROMISE = "work sent twice with one ticket through two nodes runs once"
        const val WORK = "doubled-with-a-ticket"
        const val CREATED = 201
        val DEADLINE = 5.seconds
    }
}
