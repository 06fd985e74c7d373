package org.celeryusher.node.admin

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.parseQueryString
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.error.Resend
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.node.call.CeleryusherHeaders
import org.celeryusher.node.call.ErrorAnswer
import org.celeryusher.node.metrics.NodeMetrics
import org.celeryusher.node.runtime.ProcessClock

/** Answers operators at the admin address: `/ready`, `/status`, `/explain?route=R` and `/metrics`. All pages only read. */
public class AdminPages(
    private val place: FleetPlace,
    private val reporter: StatusReporter,
    private val metrics: NodeMetrics,
    private val clock: ProcessClock,
) {
    /** Answers one call. */
    public suspend fun answer(call: ApplicationCall) {
        val page =
            try {
                page(call.request.httpMethod.value, call.request.uri)
            } catch (error: CancellationException) {
                throw error
            } catch (error: RuntimeException) {
                logger.error(error) { "the admin page ${call.request.uri} failed" }
                AdminPage.Failed(ErrorKind.INTERNAL, error.javaClass.simpleName)
            }
        write(call, page)
    }

    /** Returns the page that [method] on [target] asks for. */
    internal fun page(
        method: String,
        target: String,
    ): AdminPage {
        val path = target.substringBefore('?')
        if (path !in PATHS) return AdminPage.Failed(ErrorKind.NO_ROUTE, "there is no page \"$path\"; the pages are ${PATHS.joinToString()}")
        if (method != "GET") return AdminPage.Failed(ErrorKind.NO_ROUTE, "$path answers GET, not $method")
        return when (path) {
            READY_PATH -> ready()
            STATUS_PATH -> json(format.encodeToString(reporter.status(clock.now())))
            EXPLAIN_PATH -> explain(target.substringAfter('?', missingDelimiterValue = ""))
            else -> AdminPage.Shown(METRICS_TYPE, metrics.scrape())
        }
    }

    private fun ready(): AdminPage =
        when (val reason = reporter.notReady()) {
            null -> AdminPage.Shown(ContentType.Text.Plain, "ready\n")
            else -> AdminPage.Failed(reason.kind, "${place.instance}")
        }

    private fun explain(query: String): AdminPage {
        val route =
            try {
                parseQueryString(query)["route"]
            } catch (error: IllegalArgumentException) {
                return AdminPage.Failed(ErrorKind.BAD_REQUEST, "the query cannot be decoded: ${error.message}")
            }
        val asked = place.copy(route = route?.let(::RouteName))
        val explanation = reporter.explain(asked) ?: return AdminPage.Failed(ErrorKind.NO_CONFIGURATION, "${place.instance}")
        val known = route == null || reporter.hasRoute(RouteName(route))
        return if (known) json(format.encodeToString(explanation)) else AdminPage.Failed(ErrorKind.NO_ROUTE, "no route is named \"$route\"")
    }

    private fun json(text: String): AdminPage = AdminPage.Shown(ContentType.Application.Json, text)

    private suspend fun write(
        call: ApplicationCall,
        page: AdminPage,
    ): Unit =
        when (page) {
            is AdminPage.Shown -> call.respond(ByteArrayContent(page.text.encodeToByteArray(), page.type, HttpStatusCode.OK))
            is AdminPage.Failed -> writeError(call, page)
        }

    private suspend fun writeError(
        call: ApplicationCall,
        page: AdminPage.Failed,
    ) {
        val kind = page.kind
        call.response.header(CeleryusherHeaders.ERROR, kind.name)
        if (kind.resend == Resend.LATER) call.response.header(HttpHeaders.RetryAfter, RETRY_AFTER_SECONDS)
        val body = format.encodeToString(ErrorAnswer(kind.name, kind.meaning, page.detail, kind.runStatus.headerValue, kind.resend.name))
        call.respond(ByteArrayContent(body.encodeToByteArray(), ContentType.Application.Json, HttpStatusCode.fromValue(kind.httpStatus)))
    }

    private companion object {
        const val READY_PATH = "/ready"
        const val STATUS_PATH = "/status"
        const val EXPLAIN_PATH = "/explain"
        const val METRICS_PATH = "/metrics"
        const val RETRY_AFTER_SECONDS = 1
        val PATHS = listOf(READY_PATH, STATUS_PATH, EXPLAIN_PATH, METRICS_PATH)
        val METRICS_TYPE = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")
        val format = Json { encodeDefaults = true }
        val logger = KotlinLogging.logger {}
    }
}

/** What the admin address answers. */
internal sealed interface AdminPage {
    /** A page with [text]. */
    data class Shown(
        val type: ContentType,
        val text: String,
    ) : AdminPage

    /** No page, because of an error. */
    data class Failed(
        val kind: ErrorKind,
        val detail: String,
    ) : AdminPage
}
