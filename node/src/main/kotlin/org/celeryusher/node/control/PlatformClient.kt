package org.celeryusher.node.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.JsonArrayMember
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.PlatformInstance
import org.celeryusher.kernel.membership.PlatformInstanceList
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The result of one read of the platform. */
public sealed interface PlatformAnswer<out T> {
    /** The platform returned [value]. */
    public data class Value<T>(
        public val value: T,
    ) : PlatformAnswer<T>

    /** The platform has nothing newer than the version in the request. */
    public data object Unchanged : PlatformAnswer<Nothing>

    /** No valid answer because of [reason]. [retryAfter] is the time that the platform asked to wait before the next request. */
    public data class Unavailable(
        public val reason: String,
        public val retryAfter: Duration = Duration.ZERO,
    ) : PlatformAnswer<Nothing>
}

/** Reads the platform's configuration service and instance list. */
public class PlatformClient(
    private val client: HttpClient,
    private val platform: Address,
    private val maximumBytes: Int,
) {
    private val format = Json { ignoreUnknownKeys = true }

    /** Returns the current configuration document. */
    public suspend fun readConfiguration(): PlatformAnswer<ByteArray> =
        read("configuration", emptyMap(), READ_TIMEOUT) { PlatformAnswer.Value(it) }

    /** Waits up to [wait] for a document with a higher version than [version]. */
    public suspend fun watchConfiguration(
        version: Long,
        wait: Duration,
    ): PlatformAnswer<ByteArray> {
        val parameters = mapOf("after" to version.toString(), "waitMilliseconds" to wait.inWholeMilliseconds.toString())
        return read("configuration", parameters, wait + READ_TIMEOUT) { PlatformAnswer.Value(it) }
    }

    /** Returns the instance list. */
    public suspend fun readInstances(): PlatformAnswer<PlatformInstanceList> =
        read("instances", emptyMap(), READ_TIMEOUT) { bytes ->
            try {
                PlatformAnswer.Value(parseInstances(bytes.decodeToString()))
            } catch (error: SerializationException) {
                PlatformAnswer.Unavailable("malformed instance list: ${error.message.orEmpty().lineSequence().first()}")
            }
        }

    private fun parseInstances(text: String): PlatformInstanceList {
        val list =
            try {
                format.decodeFromString<PlatformInstanceList>(text)
            } catch (error: SerializationException) {
                parseWithoutFaultyInstances(text) ?: throw error
            }
        return list.copy(instances = list.instances.filter { it.isUsable })
    }

    private fun parseWithoutFaultyInstances(text: String): PlatformInstanceList? {
        val array = JsonArrayMember.findOrNull(text, setOf("instances")) ?: return null
        val instances = array.elements.mapNotNull(::parseInstanceOrNull)
        logger.warn { "left out ${array.elements.size - instances.size} of ${array.elements.size} malformed entries of the instance list" }
        return format.decodeFromString<PlatformInstanceList>(array.textWithoutElements).copy(instances = instances)
    }

    private fun parseInstanceOrNull(text: String): PlatformInstance? =
        try {
            format.decodeFromString<PlatformInstance>(text)
        } catch (_: SerializationException) {
            null
        }

    private suspend fun <T> read(
        path: String,
        parameters: Map<String, String>,
        timeout: Duration,
        decode: (ByteArray) -> PlatformAnswer<T>,
    ): PlatformAnswer<T> =
        try {
            withTimeout(timeout) {
                val response = client.get("http://$platform/$path") { parameters.forEach { (name, value) -> parameter(name, value) } }
                decodeWhole(response, decode)
            }
        } catch (_: TimeoutCancellationException) {
            PlatformAnswer.Unavailable("no answer within $timeout")
        } catch (error: CancellationException) {
            throw error
        } catch (error: IOException) {
            PlatformAnswer.Unavailable(error.javaClass.simpleName)
        }

    private suspend fun <T> decodeWhole(
        response: HttpResponse,
        decode: (ByteArray) -> PlatformAnswer<T>,
    ): PlatformAnswer<T> {
        if (response.status == HttpStatusCode.NoContent) return PlatformAnswer.Unchanged
        if (response.status != HttpStatusCode.OK) return PlatformAnswer.Unavailable("status ${response.status.value}", retryAfter(response))
        val bytes = response.bodyAsChannel().readRemaining(maximumBytes + 1L).readByteArray()
        if (bytes.size > maximumBytes) return PlatformAnswer.Unavailable("more than $maximumBytes bytes")
        return decode(bytes)
    }

    private fun retryAfter(response: HttpResponse): Duration {
        val requested = response.headers[HttpHeaders.RetryAfter]?.toLongOrNull() ?: 0
        return requested.seconds.coerceIn(Duration.ZERO, MAXIMUM_RETRY_AFTER)
    }

    private companion object {
        val MAXIMUM_RETRY_AFTER = 30.seconds
        val READ_TIMEOUT = 2.seconds
        val logger = KotlinLogging.logger {}
    }
}
