package org.celeryusher.standin.platform

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.standin.http.ConnectionLimits
import org.celeryusher.standin.http.HttpListener
import org.celeryusher.standin.http.HttpRequest
import org.celeryusher.standin.http.HttpResponse

/**
 * HTTP endpoint that controls a platform stand-in from another process. It has a port of its own.
 *
 * The operations are `POST /operator/publish` (body: a document), `/operator/instances` (body: a list),
 * `/operator/leaving?instance=NAME` and `/operator/faults` (body: a list), and `GET /operator/counts`.
 */
public class PlatformOperatorEndpoint(
    private val platform: PlatformStandIn,
    host: String = "127.0.0.1",
) {
    private val listener = HttpListener(host, ConnectionLimits(), ::answer)

    /** Binds [port], or a free port if it is 0, and returns the bound address. */
    public fun start(port: Int = 0): Address = listener.open(port)

    /** Stops listening and closes all connections. */
    public fun stop(): Unit = listener.close()

    private fun answer(call: HttpRequest): HttpResponse =
        try {
            when ("${call.method} ${call.path}") {
                "POST /operator/publish" -> HttpResponse.json(OK, """{"version":${platform.publish(call.body)}}""")
                "POST /operator/instances" -> setInstances(call)
                "POST /operator/leaving" -> markLeaving(call)
                "POST /operator/faults" -> setFaults(call)
                "GET /operator/counts" -> HttpResponse.json(OK, format.encodeToString(platform.counts))
                else -> HttpResponse.json(NOT_FOUND, """{"error":"no such operation"}""")
            }
        } catch (error: SerializationException) {
            HttpResponse.json(
                BAD_REQUEST,
                format.encodeToString(
                    mapOf(
                        "error" to
                            error.message
                                .orEmpty()
                                .lineSequence()
                                .first(),
                    ),
                ),
            )
        }

    private fun setInstances(call: HttpRequest): HttpResponse {
        platform.setInstances(format.decodeFromString<List<PlatformInstance>>(call.body.decodeToString()))
        return HttpResponse.json(OK, """{"revision":${platform.instanceList.revision}}""")
    }

    private fun markLeaving(call: HttpRequest): HttpResponse {
        val instance = call.parameter("instance") ?: return HttpResponse.json(BAD_REQUEST, """{"error":"instance is missing"}""")
        platform.markLeaving(InstanceName(instance))
        return HttpResponse.json(OK, """{"revision":${platform.instanceList.revision}}""")
    }

    private fun setFaults(call: HttpRequest): HttpResponse {
        platform.faults = format.decodeFromString<List<PlatformFault>>(call.body.decodeToString())
        return HttpResponse.json(OK, format.encodeToString(platform.faults))
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        val format = Json { encodeDefaults = true }
    }
}
