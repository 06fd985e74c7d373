package org.celeryusher.kernel.configuration

import arrow.core.getOrElse
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.test.fail

/** Guards against a delta that leads to another configuration than its target, or to an invalid one. */
class ConfigurationDeltaTest {
    private val base = SampleDocuments.snapshot(5)

    @Test
    fun deltaContainsOnlyChangedParts() {
        val cases =
            listOf(
                ("\"version\":5" to "\"version\":6") to emptyList(),
                (":2000}" to ":2001}") to listOf("defaults"),
                (":0.25}" to ":0.2}") to listOf("ranks"),
                ("\"slots\":4" to "\"slots\":5") to listOf("service"),
                (":9000}" to ":9001}") to listOf("route"),
                ("\"A thin line.\"" to "\"A thinner line.\"") to listOf("exception"),
                ("\"name\":\"east\"" to "\"name\":\"far-east\"") to listOf("exception", "-exception"),
            )
        for ((change, expected) in cases) {
            val target =
                SampleDocuments.snapshot(
                    SampleDocuments.TEXT.replace(change.first, change.second).replace("\"version\":5", "\"version\":6"),
                )
            val delta = ConfigurationDelta.between(base, target)
            val parts = delta.changed.map { it.section.name.lowercase() } + delta.removed.map { "-" + it.section.name.lowercase() }
            assertEquals(expected, parts, change.second)
            assertEquals(target.canonicalText, applied(delta, base).canonicalText)
        }
    }

    @Property(tries = 300, seed = "4")
    fun encodedDeltaReproducesItsTarget(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val from = SampleDocuments.snapshot(randomText(random, version = 1))
        val to = SampleDocuments.snapshot(randomText(random, version = 2))
        val delta = ConfigurationDelta.parse(ConfigurationDelta.between(from, to).encode()).getOrElse { fail(it.toString()) }
        assertEquals(to.canonicalText, applied(delta, from).canonicalText)
    }

    @Test
    fun inapplicableDeltaIsRefused() {
        val target = SampleDocuments.snapshot(6, deadline = 2_001)
        val delta = ConfigurationDelta.between(base, target)
        assertIs<DeltaFault.BaseMismatch>(fault(delta, target))
        assertIs<DeltaFault.TargetMismatch>(fault(delta.copy(changed = emptyList()), base))
        assertIs<DeltaFault.TargetMismatch>(fault(delta.copy(target = delta.target.copy(version = 7)), base))
        val badDefaults = JsonObject(mapOf("deadlineMilliseconds" to JsonPrimitive(-1)))
        assertIs<DeltaFault.InvalidTarget>(fault(delta.copy(changed = delta.changed.map { it.copy(content = badDefaults) }), base))
        for (text in listOf("", "[]", "{}", delta.encode().dropLast(1), delta.encode().replace("\"defaults\"", "\"nothing\""))) {
            assertTrue(ConfigurationDelta.parse(text).isLeft(), text)
        }
    }

    private fun applied(
        delta: ConfigurationDelta,
        held: ConfigurationSnapshot,
    ): ConfigurationSnapshot = delta.applyTo(held).getOrElse { fail(it.toString()) }

    private fun fault(
        delta: ConfigurationDelta,
        held: ConfigurationSnapshot,
    ): DeltaFault = delta.applyTo(held).fold({ it }, { fail("applied: ${it.digest}") })

    private fun randomText(
        random: Random,
        version: Long,
    ): String {
        fun names(prefix: String) = (0..9).filter { random.nextInt(3) > 0 }.shuffled(random).map { "$prefix$it" }
        val services = (names("s") + "s").joinToString { """{"name":"$it","slots":${random.nextInt(1, 3)},"connections":9}""" }
        val routes =
            (names("r") + "r").joinToString {
                """{"name":"$it","method":"GET","pathPrefix":"/$it","service":"s","rank":"k","idempotent":${random.nextBoolean()}}"""
            }
        val exceptions =
            names("e").joinToString {
                """{"name":"$it","scope":{"instance":"$it"},"change":{"maximumAttempts":${random.nextInt(1, 3)}},"reason":"x"}"""
            }
        return """{"version":$version,"defaults":{},"ranks":[{"name":"k","guaranteedShare":0}],
            "services":[$services],"routes":[$routes],"exceptions":[$exceptions]}"""
    }
}
