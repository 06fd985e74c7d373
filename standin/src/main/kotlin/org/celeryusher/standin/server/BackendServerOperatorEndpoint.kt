package org.celeryusher.standin.server

import kotlinx.serialization.json.Json
import org.celeryusher.kernel.identity.Address
import org.celeryusher.standin.http.ConnectionLimits
import org.celeryusher.standin.http.HttpListener
import org.celeryusher.standin.http.HttpRequest
import org.celeryusher.standin.http.HttpResponse

/** HTTP endpoint that controls one backend server stand-in: `POST /operator/drain|pause|resume|crash`, `GET /operator/counts`. */
public class BackendServerOperatorEndpoint(
    private val server: BackendServerStandIn,
    host: String = "127.0.0.1",
) {
    private val listener = HttpListener(host, ConnectionLimits(), ::answer)

    /** Binds [port], or a free port if it is 0, and returns the bound address. */
    public fun start(port: Int = 0): Address = listener.open(port)

    /** Stops listening and closes all connections. */
    public fun stop(): Unit = listener.close()

    private fun answer(call: HttpRequest): HttpResponse {
        when ("${call.method} ${call.path}") {
            "POST /operator/drain" -> server.drain()
            "POST /operator/pause" -> server.pause()
            "POST /operator/resume" -> server.resume()
            "POST /operator/crash" -> server.crash()
            "GET /operator/counts" -> Unit
            else -> return HttpResponse.json(NOT_FOUND, """{"error":"no such operation"}""")
        }
        return HttpResponse.json(OK, Json.encodeToString(server.counts))
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
