package org.celeryusher.node.runtime

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against a node whose background tasks end at the first unexpected error while it goes on serving calls. */
class KeepRunningTest {
    @Test
    fun aTaskStartsAgainAfterAnUnexpectedErrorOnly() {
        val cases =
            listOf<Pair<String, () -> Throwable>>(
                "a malformed value" to { IllegalArgumentException("malformed") },
                "a broken invariant" to { IllegalStateException("broken") },
                "a missing element" to { NoSuchElementException("missing") },
                "an input that is nested too deeply" to { StackOverflowError() },
                "an input that is too large" to { OutOfMemoryError() },
            )
        for ((name, error) in cases) {
            var starts = 0
            runTest {
                keepRunning(name) {
                    starts++
                    if (starts < 3) throw error()
                }
            }
            assertEquals(3, starts, name)
        }
    }

    @Test
    fun aCancelledTaskEnds() {
        var starts = 0
        assertFailsWith<CancellationException> {
            runTest {
                keepRunning("cancelled") {
                    starts++
                    throw CancellationException("stopped")
                }
            }
        }
        assertEquals(1, starts)
    }
}
