package org.celeryusher.node.source

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import org.celeryusher.kernel.distribution.TransferPatience
import org.celeryusher.kernel.identity.Address
import org.celeryusher.node.http.ExchangeResult
import org.celeryusher.node.http.HttpConnectionPool
import org.celeryusher.node.http.HttpRequest
import org.celeryusher.node.http.ReceiveProgress
import org.celeryusher.node.http.value
import org.celeryusher.node.net.await
import org.celeryusher.node.runtime.ProcessClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends requests to a platform at [address] over persistent connections.
 *
 * A response that arrives is awaited beyond its timeout. A connection is closed and not reused after a request that was given up.
 */
internal class HttpPlatformTransport(
    private val connections: HttpConnectionPool,
    private val address: Address,
    private val clock: ProcessClock,
) : PlatformTransport {
    override suspend fun get(
        target: String,
        timeout: Duration,
    ): PlatformCallResult {
        val request = HttpRequest("GET", target, emptyList(), ByteArray(0), address.toString())
        val progress = currentCoroutineContext()[ReceiveProgress] ?: ReceiveProgress()
        return when (val result = exchange(request, progress, TransferPatience(timeout, clock.now()))) {
            null -> PlatformCallResult.Failed("no whole answer within $timeout, ${progress.bytes} bytes received")
            is ExchangeResult.Answered -> {
                val retryAfter =
                    result.response.headers
                        .value("Retry-After")
                        ?.toDoubleOrNull()
                        ?.takeIf { it >= 0 }
                        ?.coerceAtMost(MAXIMUM_RETRY_AFTER_SECONDS)
                        ?.seconds
                PlatformCallResult.Answered(
                    result.response.status,
                    result.response.body,
                    retryAfter ?: Duration.ZERO,
                    result.response.headers,
                )
            }
            is ExchangeResult.NotConnected -> PlatformCallResult.Failed(result.detail)
            is ExchangeResult.Broken -> PlatformCallResult.Failed(result.detail)
        }
    }

    private suspend fun exchange(
        request: HttpRequest,
        progress: ReceiveProgress,
        patience: TransferPatience,
    ): ExchangeResult? =
        coroutineScope {
            val exchange = async { connections.exchange(request, progress) }
            patience.await(clock, progress::bytes, exchange::await).also { if (it == null) exchange.cancel() }
        }

    private companion object {
        /** A platform that asks for a longer pause is asked again after this one: no single answer may end the reading. */
        const val MAXIMUM_RETRY_AFTER_SECONDS = 30.0
    }
}
