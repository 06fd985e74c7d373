package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.node.runtime.SingleNodeFleet
import org.celeryusher.node.runtime.sendRaw
import org.celeryusher.node.settings.NodeLimits
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Sends invalid requests over raw sockets. Guards against a request that is forwarded although it is invalid, gets a response without an
 * error kind, or makes the node stop serving other callers.
 */
class HostileRequestTest {
    private class Case(
        val name: String,
        val request: ByteArray,
        val kind: ErrorKind,
    ) {
        constructor(name: String, request: String, kind: ErrorKind) : this(name, request.toByteArray(Charsets.ISO_8859_1), kind)
    }

    private val document =
        """
        {"version":1,"defaults":{},"ranks":[{"name":"lookups","guaranteedShare":0.5}],
         "services":[{"name":"records-hub","slots":6,"connections":130}],
         "routes":[
           {"name":"readings","method":"GET","pathPrefix":"/readings","service":"records-hub","rank":"lookups","idempotent":true},
           {"name":"uploads","method":"POST","pathPrefix":"/uploads","service":"records-hub","rank":"lookups","idempotent":true}]}
        """.trimIndent()
    private val end = "Host: node\r\nConnection: close\r\n\r\n"

    private val invalidRequests =
        listOf(
            Case("path that is not UTF-8", "GET /readings/\u00ff\u00fe HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
            Case("path whose escapes are not UTF-8", "GET /readings/%ff%fe HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
            Case("path with an invalid escape", "GET /readings/%zz HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
            Case("path with a parent segment", "GET /readings/../secret HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
            Case("method without a route", "DELETE /readings/7 HTTP/1.1\r\n$end", ErrorKind.NO_ROUTE),
            Case("unknown method", "BREW /readings/7 HTTP/1.1\r\n$end", ErrorKind.NO_ROUTE),
            Case("unknown path", "GET /nowhere HTTP/1.1\r\n$end", ErrorKind.NO_ROUTE),
            Case(
                "deadline that is not a number",
                "GET /readings/7 HTTP/1.1\r\nCeleryusher-Deadline-Milliseconds: soon\r\n$end",
                ErrorKind.BAD_REQUEST,
            ),
            Case(
                "negative deadline",
                "GET /readings/7 HTTP/1.1\r\nCeleryusher-Deadline-Milliseconds: -1\r\n$end",
                ErrorKind.BAD_REQUEST,
            ),
            Case(
                "header larger than the limit",
                "GET /readings/7 HTTP/1.1\r\nNote: ${"n".repeat(3_000)}\r\n$end",
                ErrorKind.REQUEST_TOO_LARGE,
            ),
            Case(
                "body larger than the limit",
                "POST /uploads HTTP/1.1\r\nContent-Length: 9000\r\n$end${"b".repeat(9_000)}",
                ErrorKind.REQUEST_TOO_LARGE,
            ),
            Case(
                "chunked body larger than the limit",
                "POST /uploads HTTP/1.1\r\nTransfer-Encoding: chunked\r\n$end" + "1000\r\n${"c".repeat(4_096)}\r\n".repeat(3) +
                    "0\r\n\r\n",
                ErrorKind.REQUEST_TOO_LARGE,
            ),
            Case(
                "body shorter than its content length",
                "POST /uploads HTTP/1.1\r\nContent-Length: 90\r\n${end}short",
                ErrorKind.BAD_REQUEST,
            ),
            Case("path with an escaped parent segment", "GET /readings/%2e%2E/secret HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
            Case("path with an escaped line end", "GET /readings/%0d%0aa HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
            Case("path with a truncated escape at its end", "GET /readings/%f HTTP/1.1\r\n$end", ErrorKind.BAD_REQUEST),
        )

    /** Malformed HTTP/1.1 requests: the node responds with an error status (400 to 599), or closes the connection without a response. */
    private val malformedRequests =
        mapOf(
            "no request line" to "\r\n\r\n\r\n",
            "text instead of a request line" to "hello there\r\n\r\n",
            "unknown protocol" to "GET /readings/7 GOPHER/9\r\n$end",
            "zero bytes" to "\u0000\u0000\u0000\u0000",
            "unterminated request line" to "GET /${"r".repeat(200_000)}",
            "header without colon" to "GET /readings/7 HTTP/1.1\r\nno colon here\r\n$end",
            "50,000 headers" to "GET /readings/7 HTTP/1.1\r\n" + "N: n\r\n".repeat(50_000) + end,
            "empty request" to "",
            "content length that is not a number" to "POST /uploads HTTP/1.1\r\nContent-Length: many\r\n${end}body",
            "two content lengths" to "POST /uploads HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 90\r\n${end}body",
            "chunk size that is not a number" to "POST /uploads HTTP/1.1\r\nTransfer-Encoding: chunked\r\n${end}zz\r\nbody\r\n0\r\n\r\n",
        )

    @Test
    fun everyInvalidRequestIsRefusedWithItsErrorKindAndTheNodeKeepsServing() {
        SingleNodeFleet(document, NodeLimits(maximumHeaderBytes = 2_048, maximumBodyBytes = 8_192)).use { fleet ->
            fleet.awaitRoutes()
            val failures = mutableListOf<String>()
            for (case in invalidRequests) {
                val answer = sendRaw(fleet.callers, case.request)
                if (answer.header(CeleryusherHeaders.ERROR) != case.kind.name || answer.status != case.kind.httpStatus) {
                    failures += "${case.name}: expected ${case.kind}, answered\n$answer"
                }
                assertServes(fleet, case.name)
            }
            assertEquals(emptyList(), failures, failures.joinToString("\n\n"))
        }
    }

    @Test
    fun malformedHttpIsNeverServedAndTheNodeKeepsServing() {
        SingleNodeFleet(document, NodeLimits(maximumHeaderBytes = 2_048, maximumBodyBytes = 8_192)).use { fleet ->
            fleet.awaitRoutes()
            val failures = mutableListOf<String>()
            for ((name, request) in malformedRequests) {
                val answer = sendRaw(fleet.callers, request.toByteArray(Charsets.ISO_8859_1))
                if (answer.status != null && answer.status !in 400..599) failures += "$name: answered\n$answer"
                assertServes(fleet, name)
            }
            assertEquals(emptyList(), failures, failures.joinToString("\n\n"))
        }
    }

    private fun assertServes(
        fleet: SingleNodeFleet,
        after: String,
    ) {
        val answer = fleet.get(fleet.callers, "/readings/7")
        assertEquals(200, answer.statusCode(), "after $after: ${answer.body()}")
        assertEquals("answer to GET /readings/7", answer.body(), "after $after")
    }
}
