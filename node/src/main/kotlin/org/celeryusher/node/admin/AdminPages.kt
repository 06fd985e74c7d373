package org.celeryusher.node.admin

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.parseQueryString
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.Resend
import org.celeryusher.kernel.error.isRecoverable
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.call.CeleryusherHeaders
import org.celeryusher.node.call.ErrorAnswer
import org.celeryusher.node.call.RouteInquiry
import org.celeryusher.node.http.HeaderField
import org.celeryusher.node.http.HttpHandler
import org.celeryusher.node.http.HttpRequest
import org.celeryusher.node.http.HttpResponse
import org.celeryusher.node.http.RequestFault
import org.celeryusher.node.http.errorKind
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.runtime.ProcessClock

/** Serves the read-only pages of the admin address: `/ready`, `/status`, `/explain?route=R`, `/metrics` and `/route`. */
internal class AdminPages(
    private val place: FleetPlace,
    private val reporter: StatusReporter,
    private val metrics: NodeMetrics,
    private val clock: ProcessClock,
    private val routes: RouteInquiry,
) : HttpHandler {
    override suspend fun answer(request: HttpRequest): HttpResponse =
        toResponse(
            try {
                findPage(request.method, request.target)
            } catch (error: CancellationException) {
                throw error
            } catch (error: Throwable) {
                if (!error.isRecoverable) throw error
                logger.error(error) { "the admin page ${request.target} failed" }
                AdminPage.Failed(ErrorKind.INTERNAL, error.javaClass.simpleName)
            },
        )

    // The pages are read-only, so that nothing has run.
    override fun respondWithoutMemory(): HttpResponse = respondToFault(RequestFault.TOO_LITTLE_MEMORY, "too little memory for the page")

    override fun respondToFault(
        fault: RequestFault,
        detail: String,
    ): HttpResponse = toResponse(AdminPage.Failed(fault.errorKind, detail))

    /** Returns the page for a request of [method] on [target]. */
    fun findPage(
        method: String,
        target: String,
    ): AdminPage {
        val path = target.substringBefore('?')
        if (path !in PATHS) return AdminPage.Failed(ErrorKind.NO_ROUTE, "there is no page \"$path\"; the pages are ${PATHS.joinToString()}")
        if (method != "GET") return AdminPage.Failed(ErrorKind.NO_ROUTE, "$path answers GET, not $method")
        return when (path) {
            READY_PATH -> readyPage()
            STATUS_PATH -> json(format.encodeToString(reporter.status(clock.now())))
            EXPLAIN_PATH -> explainPage(target.substringAfter('?', missingDelimiterValue = ""))
            ROUTE_PATH -> routePage(target.substringAfter('?', missingDelimiterValue = ""))
            else -> AdminPage.Content(METRICS_TYPE, metrics.scrape())
        }
    }

    private fun readyPage(): AdminPage =
        when (val reason = reporter.notReadyReason(clock.now())) {
            null -> AdminPage.Content(PLAIN_TYPE, "ready\n")
            else -> AdminPage.Failed(reason.kind, "${place.instance}")
        }

    private fun explainPage(query: String): AdminPage {
        val route =
            try {
                parseQueryString(query)["route"]
            } catch (error: IllegalArgumentException) {
                return AdminPage.Failed(ErrorKind.BAD_REQUEST, "the query cannot be decoded: ${error.message}")
            }
        val requested = place.copy(route = route?.let(::RouteName))
        val explanation = reporter.explain(requested) ?: return AdminPage.Failed(ErrorKind.NO_CONFIGURATION, "${place.instance}")
        val known = route == null || reporter.hasRoute(RouteName(route))
        return if (known) json(format.encodeToString(explanation)) else AdminPage.Failed(ErrorKind.NO_ROUTE, "no route is named \"$route\"")
    }

    private fun routePage(query: String): AdminPage {
        val parameters =
            try {
                parseQueryString(query)
            } catch (error: IllegalArgumentException) {
                return AdminPage.Failed(ErrorKind.BAD_REQUEST, "the query cannot be decoded: ${error.message}")
            }
        val method = parameters["method"] ?: return AdminPage.Failed(ErrorKind.BAD_REQUEST, "the parameter method is missing")
        val path = parameters["path"] ?: return AdminPage.Failed(ErrorKind.BAD_REQUEST, "the parameter path is missing")
        return routes.find(method, parameters["host"].orEmpty(), path).fold(
            { AdminPage.Failed(it.kind, it.detail.ifEmpty { "${place.instance}" }) },
            { json(format.encodeToString(RouteReport.of(place, it))) },
        )
    }

    private fun json(text: String): AdminPage = AdminPage.Content(JSON_TYPE, text)

    private fun toResponse(page: AdminPage): HttpResponse =
        when (page) {
            is AdminPage.Content -> HttpResponse(OK, listOf(HeaderField("Content-Type", page.type)), page.text.encodeToByteArray())
            is AdminPage.Failed -> toErrorResponse(page)
        }

    private fun toErrorResponse(page: AdminPage.Failed): HttpResponse {
        val kind = page.kind
        val fields =
            listOfNotNull(
                HeaderField(CeleryusherHeaders.ERROR, kind.name),
                HeaderField("Retry-After", RETRY_AFTER_SECONDS.toString()).takeIf { kind.resend == Resend.LATER },
                HeaderField("Content-Type", JSON_TYPE),
            )
        val body = format.encodeToString(ErrorAnswer(kind.name, kind.meaning, page.detail, kind.runStatus.headerValue, kind.resend.name))
        return HttpResponse(kind.httpStatus, fields, body.encodeToByteArray())
    }

    private companion object {
        const val READY_PATH = "/ready"
        const val STATUS_PATH = "/status"
        const val EXPLAIN_PATH = "/explain"
        const val METRICS_PATH = "/metrics"
        const val ROUTE_PATH = "/route"
        const val RETRY_AFTER_SECONDS = 1
        val PATHS = listOf(READY_PATH, STATUS_PATH, EXPLAIN_PATH, METRICS_PATH, ROUTE_PATH)
        const val OK = 200
        const val PLAIN_TYPE = "text/plain; charset=utf-8"
        const val JSON_TYPE = "application/json"
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        val format = Json { encodeDefaults = true }
        val logger = KotlinLogging.logger {}
    }
}

/** The result of a request at the admin address. */
internal sealed interface AdminPage {
    /** A page with [text] of the content type [type]. */
    data class Content(
        val type: String,
        val text: String,
    ) : AdminPage

    /** An error of [kind] in place of a page. */
    data class Failed(
        val kind: ErrorKind,
        val detail: String,
    ) : AdminPage
}
