package org.celeryusher.node.control

import com.sun.net.httpserver.HttpExchange
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.PlatformInstance
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.node.runtime.HttpFake
import org.celeryusher.node.runtime.reply
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A fake platform with a watch and an instance list. Tests set its content and make it unavailable. */
class FakePlatform : AutoCloseable {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val fake = HttpFake(::answer)
    private var document: String? = null
    private var version = 0L
    private var list = PlatformInstanceList(1, emptyList())

    val address: Address get() = fake.address
    val calls = AtomicInteger()

    @Volatile
    var isUnavailable = false

    fun publish(
        version: Long,
        document: String,
    ): Unit =
        lock.withLock {
            this.version = version
            this.document = document
            changed.signalAll()
        }

    fun list(instances: List<PlatformInstance>): Unit = lock.withLock { list = PlatformInstanceList(list.revision + 1, instances) }

    override fun close(): Unit = fake.close()

    private fun answer(exchange: HttpExchange) {
        calls.incrementAndGet()
        when {
            isUnavailable -> exchange.reply(503, "")
            exchange.requestURI.path == "/instances" -> exchange.reply(200, Json.encodeToString(lock.withLock { list }))
            else -> answerWatch(exchange)
        }
    }

    private fun answerWatch(exchange: HttpExchange) {
        val query =
            exchange.requestURI.query
                .split('&')
                .associate { it.substringBefore('=') to it.substringAfter('=').toLong() }
        val found = lock.withLock { documentAfter(query.getValue("after"), query.getValue("waitMilliseconds")) }
        when {
            isUnavailable -> exchange.reply(503, "")
            found == null -> exchange.reply(204, "")
            else -> exchange.reply(200, found)
        }
    }

    private fun documentAfter(
        after: Long,
        waitMilliseconds: Long,
    ): String? {
        var left = TimeUnit.MILLISECONDS.toNanos(waitMilliseconds)
        while (version <= after && left > 0) left = changed.awaitNanos(left)
        return document?.takeIf { version > after }
    }
}
