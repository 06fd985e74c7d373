package org.celeryusher.node.control

import com.sun.net.httpserver.HttpServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.runBlocking
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.membership.PlatformInstanceList
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against an odd entry of the platform's instance list costing the whole list. */
class InstanceListReaderTest {
    private fun instance(
        name: String,
        host: String = "10.0.0.1",
        port: String = "7000",
    ): String {
        val address = """{"host":"$host","port":$port}"""
        return """{"instance":"$name","service":"desk","dataCentre":"d","controlAddress":$address,"frameAddress":$address,""" +
            """"serverAddress":$address,"state":"live"}"""
    }

    @Test
    fun anOddEntryCostsThatEntryAlone() {
        val nested = listOf("[".repeat(50_000) + "]".repeat(50_000), "{\"a\":".repeat(50_000) + "1" + "}".repeat(50_000))
        val odd =
            nested + nested.map { """{"instance":$it}""" } + nested.map { instance("odd").replace("\"desk\"", it) } +
                listOf("99999", "-1", "0", "1e400", "9223372036854775808", "1.5", "\"x\"").map { instance("odd", port = it) } +
                listOf("", "nowhere", "999.1.1.1", "10.0.0").map { instance("odd", host = it) } +
                listOf("7", "null", "\"x\"", "{}", instance("odd").replace("\"live\"", "\"asleep\""))
        for (entry in odd) {
            val text = """{"revision":3,"instances":[${instance("before")},$entry,${instance("after")}]}"""
            val list = assertIs<PlatformAnswer.Value<PlatformInstanceList>>(read(text), entry.take(80)).value
            assertEquals(listOf("before", "after"), list.instances.map { it.instance.value }, entry.take(80))
            assertEquals(3, list.revision)
        }
    }

    private fun read(text: String): PlatformAnswer<PlatformInstanceList> {
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        server.createContext("/instances") { exchange ->
            val bytes = text.encodeToByteArray()
            exchange.sendResponseHeaders(200, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        server.start()
        try {
            return HttpClient(CIO).use { client ->
                val platform = PlatformClient(client, Address("127.0.0.1", server.address.port), maximumBytes = 10_000_000)
                runBlocking { platform.readInstances() }
            }
        } finally {
            server.stop(0)
        }
    }
}
