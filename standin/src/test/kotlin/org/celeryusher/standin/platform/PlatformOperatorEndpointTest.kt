package org.celeryusher.standin.platform

import org.celeryusher.standin.TestClient
import org.celeryusher.standin.text
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class PlatformOperatorEndpointTest {
    private val platform = PlatformStandIn().start()
    private val endpoint = PlatformOperatorEndpoint(platform)
    private val address = endpoint.start()
    private val client = TestClient()

    @AfterTest
    fun stop() {
        endpoint.stop()
        platform.stop()
    }

    @Test
    fun operationsChangeThePlatform() {
        val instance =
            """{"instance":"a","service":"s","dataCentre":"d","controlAddress":{"host":"127.0.0.1","port":1},""" +
                """"frameAddress":{"host":"127.0.0.1","port":2},"serverAddress":{"host":"127.0.0.1","port":3},"state":"live"}"""
        val cases =
            listOf(
                Triple("/operator/publish", """{"version":5}""", 200 to """{"version":5}"""),
                Triple("/operator/instances", "[$instance]", 200 to """{"revision":1}"""),
                Triple("/operator/leaving?instance=a", "", 200 to """{"revision":2}"""),
                Triple("/operator/leaving", "", 400 to """{"error":"instance is missing"}"""),
                Triple("/operator/other", "", 404 to """{"error":"no such operation"}"""),
            )
        for ((target, body, expected) in cases) {
            val answer = client.post(address, target, body.encodeToByteArray())
            assertEquals(expected, answer.statusCode() to answer.text(), target)
        }
        val list = client.get(platform.address, "/instances").text()
        assertEquals("""{"revision":2,"instances":[${instance.replace("live", "leaving")}]}""", list)
    }

    @Test
    fun setsFaultsBySerializedName() {
        val faults =
            listOf(
                PlatformFault.Unavailable,
                PlatformFault.Stale(2),
                PlatformFault.Slow(5),
                PlatformFault.AlternatingVersions,
                PlatformFault.TruncatedBody(0.25),
                PlatformFault.ListLag(100),
            )
        val words =
            """[{"type":"unavailable"},{"type":"stale","versionsBehind":2},{"type":"slow","delayMilliseconds":5},{"type":"crossed"},""" +
                """{"type":"truncatedBody","keptShare":0.25},{"type":"listLag","lagMilliseconds":100}]"""
        assertEquals(200, client.post(address, "/operator/faults", words.encodeToByteArray()).statusCode())
        assertEquals(faults, platform.faults)
        assertEquals(400, client.post(address, "/operator/faults", """[{"type":"none"}]""".encodeToByteArray()).statusCode())
        assertEquals(faults, platform.faults)
    }
}
