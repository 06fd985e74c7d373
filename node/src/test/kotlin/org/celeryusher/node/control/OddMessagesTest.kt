package org.celeryusher.node.control

import org.celeryusher.kernel.configuration.ConfigurationDelta
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.membership.GossipMessage
import org.celeryusher.node.settings.NodeSettingsReader
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against a JSON text that is nested deeply, or has odd numbers, ending the reader of messages, settings or documents. */
class OddMessagesTest {
    private val texts =
        listOf(100, 5_000, 100_000).flatMap { depth ->
            listOf(
                "[".repeat(depth),
                "[".repeat(depth) + "]".repeat(depth),
                "{\"a\":".repeat(depth),
                "{\"a\":".repeat(depth) + "1" + "}".repeat(depth),
            ).flatMap {
                listOf(
                    it,
                    "{\"extra\":$it}",
                    "{\"payload\":$it}",
                    "{\"instance\":$it}",
                    "{\"version\":$it}",
                    "{\"platform\":$it}",
                )
            }
        } +
            listOf(
                "{\"version\":1e400}",
                "{\"addresses\":{\"callers\":\"10.0.0.1:99999\"}}",
                "{\"platform\":\"nowhere:0\"}",
                "\u0000",
                "",
                "null",
            )

    @Test
    fun everyReaderRefusesOddTexts() {
        for (text in texts) {
            assertNull(ControlFormat.decodeOrNull(GossipMessage.serializer(), text.encodeToByteArray()), text.take(60))
            assertTrue(NodeSettingsReader.parse(text).isLeft(), text.take(60))
            assertTrue(ConfigurationDelta.parse(text).isLeft(), text.take(60))
            assertTrue(ConfigurationParser.parse(text.encodeToByteArray()).isLeft(), text.take(60))
        }
    }
}
