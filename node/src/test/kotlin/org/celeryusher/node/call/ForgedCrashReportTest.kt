package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.CrashId
import org.celeryusher.kernel.execution.CrashReport
import org.celeryusher.kernel.execution.CrashSuspect
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.node.runtime.TestFleet
import org.celeryusher.node.runtime.reply
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against crash reports that a node has not asked for. */
class ForgedCrashReportTest {
    private val document =
        """
        {"version":1,"defaults":{"deadlineMilliseconds":5000},"ranks":[{"name":"lookups","guaranteedShare":0.4}],
         "services":[{"name":"billing-desk","slots":6,"connections":130}],
         "routes":[{"name":"look-up","method":"GET","pathPrefix":"/invoices","service":"billing-desk","rank":"lookups","idempotent":true}]}
        """.trimIndent()
    private val sound = RequestFingerprint.of("GET", "/invoices/7", ByteArray(0))

    private fun report(server: String) =
        CrashReport(CrashId(InstanceName(server), 1), 0, 600_000, isComplete = true, listOf(CrashSuspect(sound)))

    @Test
    fun reportsThatWereNotAskedForAreDropped() {
        val reports = listOf("a", "b", "c").map(::report)
        val frames =
            listOf(
                Frame.CrashUpdate(1, 1, 9, reports, isInformed = true),
                Frame.Failure(1, ErrorKind.SERVER_CRASHED, "", crash = reports.first()),
            )
        TestFleet(2, document) { _, exchange -> exchange.reply(200, "whole") }.start().use { fleet ->
            for (node in fleet.nodes) {
                val address = node.settings.addresses.frames
                Socket(address.host, address.port).use { socket ->
                    for (frame in frames) socket.getOutputStream().write(FrameCodec.framed(FrameCodec.encode(frame)))
                    socket.getOutputStream().flush()
                    Thread.sleep(ARRIVAL_MILLISECONDS)
                }
            }
            repeat(4) { assertEquals(200, fleet.send(it % 2, "GET", "/invoices/7").statusCode()) }
        }
    }

    private companion object {
        const val ARRIVAL_MILLISECONDS = 200L
    }
}
