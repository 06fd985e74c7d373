package org.celeryusher.node.settings

import org.celeryusher.node.command.projectText
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsChangeDetectorTest {
    private val text = projectText("examples/node.json")

    @Test
    fun fieldsThatDifferFromTheRunningSettingsAreReturned() {
        val cases =
            listOf(
                text to emptyList(),
                text.replace("records-hub-1", "records-hub-2") to listOf("instance"),
                text.replace("\"platform\": \"127.0.0.1:8090\"", "\"platform\": \"127.0.0.1:8091\"") to listOf("platform"),
                text.replace(":7400", ":7500").replace("\"watchMilliseconds\": 10000", "\"watchMilliseconds\": 9000") to
                    listOf("addresses", "control"),
                "{" to emptyList(),
            )
        val running = NodeSettingsReader.parse(text).fold({ error("$it") }, { it })
        val file = Files.createTempFile("node", ".json")
        for ((changed, expected) in cases) {
            Files.writeString(file, changed)
            assertEquals(expected, SettingsChangeDetector(file, running).check("SIGHUP"), changed)
            assertEquals(expected, SettingsChangeDetector(file, running).check(null), changed)
        }
        Files.delete(file)
    }
}
