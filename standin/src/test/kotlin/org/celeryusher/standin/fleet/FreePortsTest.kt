package org.celeryusher.standin.fleet

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class FreePortsTest {
    @Test
    fun findsDistinctPortsAndSkipsBoundOnes() {
        val ports = FreePorts.find(20, Random(5))
        assertEquals(20, ports.toSet().size)
        ServerSocket(ports.first(), 1, InetAddress.getLoopbackAddress()).use {
            assertFalse(ports.first() in FreePorts.find(20, Random(5)))
        }
    }
}
