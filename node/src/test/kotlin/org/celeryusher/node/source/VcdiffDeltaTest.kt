package org.celeryusher.node.source

import arrow.core.getOrElse
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertTrue

class VcdiffDeltaTest {
    private val routes = List(1_000) { "{\"name\":\"r-$it\",\"path\":\"/${Random(it).nextLong()}/\"}" }

    private fun document(routes: List<String>): ByteArray = routes.joinToString(",").encodeToByteArray()

    /** Guards against changes that are as large as the document. */
    @Test
    fun aChangeOfOneRouteIsSmallWhereverItIs() {
        val base = document(routes)
        val targets =
            mapOf(
                "changed" to routes.toMutableList().also { it[500] = "{\"name\":\"r-500\",\"path\":\"/other/\"}" },
                "added" to routes + "{\"name\":\"r-new\"}",
                "added first" to listOf("{\"name\":\"r-new\"}") + routes,
                "removed" to routes - routes[400],
                "moved" to routes.drop(1) + routes.first(),
                "nothing" to routes,
                "all removed" to emptyList(),
            )
        for ((name, target) in targets) {
            val delta = VcdiffDelta.encode(base, document(target))
            assertTrue(delta.size < 300, "$name: ${delta.size} bytes")
            assertContentEquals(document(target), VcdiffDelta.decode(base, delta, MAXIMUM_BYTES).getOrElse { error(it) }, name)
        }
    }

    /** Guards against a message of another node that ends this process or makes it allocate without limit. */
    @Test
    fun damagedDeltasAndHugeResultsAreRefused() {
        val base = document(routes)
        val delta = VcdiffDelta.encode(base, document(routes.reversed()))
        assertTrue(VcdiffDelta.decode(base, delta, base.size / 2).isLeft(), "a result above the limit")
        assertTrue(VcdiffDelta.decode(base, delta.copyOf(delta.size / 2), MAXIMUM_BYTES).isLeft(), "a delta that ends early")
        val random = Random(1)
        repeat(2_000) {
            val damaged = delta.copyOf(random.nextInt(1, delta.size + 1))
            repeat(random.nextInt(1, 4)) { damaged[random.nextInt(damaged.size)] = random.nextInt().toByte() }
            val result = VcdiffDelta.decode(base, damaged, MAXIMUM_BYTES).getOrElse { ByteArray(0) }
            assertTrue(result.size <= MAXIMUM_BYTES)
        }
    }

    private companion object {
        const val MAXIMUM_BYTES = 1_000_000
    }
}
