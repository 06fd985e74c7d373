package org.celeryusher.node.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.java.Java
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.io.readString
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.JsonNesting
import org.celeryusher.kernel.identity.Address
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration.Companion.seconds

/** Reads pages from the admin address of a node. */
internal class AdminClient(
    private val node: Address,
) {
    private val format = Json { ignoreUnknownKeys = true }

    /** Returns the page at [path], decoded by [deserializer], or a message that says why it cannot be read. */
    fun <T> read(
        path: String,
        parameters: Map<String, String>,
        deserializer: DeserializationStrategy<T>,
    ): Either<String, T> =
        HttpClient(Java) { expectSuccess = false }.use { client ->
            try {
                runBlocking { withTimeout(RESPONSE_TIMEOUT) { decode(client.request(path, parameters), deserializer) } }
            } catch (_: TimeoutCancellationException) {
                "the node at $node did not answer within $RESPONSE_TIMEOUT".left()
            } catch (error: IOException) {
                "the node at $node cannot be reached: ${error.javaClass.simpleName}".left()
            } catch (_: UnresolvedAddressException) {
                "the node at $node cannot be reached: unknown host".left()
            } catch (error: IllegalArgumentException) {
                "the request to the node at $node is invalid: ${printableLine(error.message.orEmpty())}".left()
            }
        }

    private suspend fun HttpClient.request(
        path: String,
        parameters: Map<String, String>,
    ): HttpResponse = get("http://$node$path") { parameters.forEach { (name, value) -> parameter(name, value) } }

    private suspend fun <T> decode(
        response: HttpResponse,
        deserializer: DeserializationStrategy<T>,
    ): Either<String, T> {
        val text = response.bodyAsChannel().readRemaining(MAXIMUM_RESPONSE_BYTES).readString()
        if (response.status != HttpStatusCode.OK) {
            return "the node at $node answered ${response.status.value}: ${printableLine(text.take(QUOTED_CHARACTERS))}".left()
        }
        if (!JsonNesting.isWithinLimit(text)) return "the node at $node returned a page that is nested too deeply".left()
        return try {
            format.decodeFromString(deserializer, text).right()
        } catch (error: SerializationException) {
            "the node at $node returned an unreadable page: ${printableLine(error.message.orEmpty().take(QUOTED_CHARACTERS))}".left()
        }
    }

    private companion object {
        val RESPONSE_TIMEOUT = 10.seconds
        const val MAXIMUM_RESPONSE_BYTES = 4_194_304L
        const val QUOTED_CHARACTERS = 300
    }
}
