package org.celeryusher.kernel.distribution

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationParser
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ChangeHistoryTest {
    /** A delta of these tests is the whole target, so that any damage shows in the hash alone. */
    private val decoder = DeltaDecoder { _, delta, maximum -> if (delta.size > maximum) "too large".left() else delta.right() }
    private val application = ChangeApplication(decoder, maximumBytes = 100)

    private fun document(
        version: Int,
        content: String = "content",
    ): ByteArray = "$version $content".encodeToByteArray()

    private fun digest(
        version: Int,
        content: String = "content",
    ) = ConfigurationDigest(version.toLong(), ConfigurationParser.contentHashOf(document(version, content)))

    private fun change(
        from: Int,
        to: Int,
        delta: ByteArray = document(to),
    ) = ConfigurationChange(digest(from), digest(to), delta)

    @Test
    fun aNodeGetsTheChangesThatItLacksOrTheDocument() {
        val history = ChangeHistory(ChangeHistorySettings(maximumChanges = 3, maximumBytes = 1_000, smallAnswerBytes = 20))
        listOf(1 to 2, 2 to 5, 5 to 6, 6 to 9).forEach { (from, to) -> history.add(change(from, to)) }
        val cases =
            listOf(
                digest(6) to listOf(9L),
                digest(2) to listOf(5L, 6L, 9L),
                digest(1) to null,
                digest(3) to null,
                digest(6, "other") to null,
                digest(9) to emptyList(),
                digest(9, "other") to emptyList(),
                digest(12) to emptyList(),
            )
        for ((held, expected) in cases) {
            val versions =
                when (val answer = history.answerTo(held, digest(9)) { 1_000 }) {
                    is ConfigurationAnswer.UpToDate -> emptyList()
                    is ConfigurationAnswer.Changes -> answer.changes.map { it.target.version }
                    is ConfigurationAnswer.Document -> null
                }
            assertEquals(expected, versions, "held $held")
        }
        assertIs<ConfigurationAnswer.Document>(history.answerTo(digest(2), digest(9)) { 10 }, "changes larger than the document")
        assertIs<ConfigurationAnswer.Document>(history.answerTo(digest(6), digest(10)) { 1_000 }, "a history that ends earlier")
        history.add(change(11, 12))
        assertIs<ConfigurationAnswer.Document>(history.answerTo(digest(6), digest(12)) { 1_000 }, "a history with a gap")
    }

    @Test
    fun aHistoryIsBoundedByItsBytes() {
        val history = ChangeHistory(ChangeHistorySettings(maximumBytes = 100))
        history.add(change(1, 2, ByteArray(60)))
        history.add(change(2, 3, ByteArray(60)))
        assertIs<ConfigurationAnswer.Document>(history.answerTo(digest(1), digest(3)) { 1_000 })
        assertIs<ConfigurationAnswer.Changes>(history.answerTo(digest(2), digest(3)) { 1_000 })
    }

    /** Guards against a configuration that is in force in part, goes back, or is not the one that was published. */
    @Test
    fun invalidChangesAreRefusedWhole() {
        val cases =
            mapOf(
                "no change" to emptyList(),
                "another start" to listOf(change(2, 3)),
                "another content under the same version" to
                    listOf(ConfigurationChange(digest(1, "other"), digest(2), document(2))),
                "a gap" to listOf(change(1, 2), change(3, 4)),
                "an older version" to listOf(change(1, 2), change(2, 1)),
                "a cycle" to listOf(change(1, 1)),
                "another result" to listOf(change(1, 2, document(2, "damaged"))),
                "another result on the way" to listOf(change(1, 2, document(2, "damaged")), change(2, 3)),
                "a huge result" to listOf(change(1, 2, ByteArray(101))),
                "too many" to List(33) { change(it + 1, it + 2) },
            )
        for ((name, changes) in cases) {
            assertTrue(application.apply(digest(1), document(1), changes).isLeft(), name)
        }
        assertContentEquals(document(3), application.apply(digest(1), document(1), listOf(change(1, 2), change(2, 3))).getOrElse { null })
    }

    /** Guards against a node that never comes to the newest version, or to another one, after losses, restarts and readers that skip versions. */
    @Test
    fun nodesThatFollowEachOtherInAnyOrderReachThePublishedVersion() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val nodes = List(4) { FuzzedHolder() }
            var newest = 1
            nodes.forEach { it.takeDocument(1) }
            repeat(STEPS) {
                val node = nodes.random(random)
                when (random.nextInt(10)) {
                    0, 1 -> newest += random.nextInt(1, 4)
                    2 -> node.takeDocument(newest)
                    3 -> node.restart(newest)
                    else -> node.follow(nodes.random(random), random)
                }
            }
            nodes.forEach { node ->
                nodes.first().takeDocument(newest)
                node.follow(nodes.first(), random = null)
                assertEquals(newest, node.version, "seed $seed")
            }
        }
    }

    private inner class FuzzedHolder {
        private var history = ChangeHistory()
        var version = 0

        fun takeDocument(offered: Int) {
            if (offered <= version) return
            if (version > 0) history.add(change(version, offered))
            version = offered
        }

        fun restart(newest: Int) {
            history = ChangeHistory()
            version = 0
            takeDocument(newest)
        }

        /** Takes over what [peer] answers, which [random] damages now and then. */
        fun follow(
            peer: FuzzedHolder,
            random: Random?,
        ) {
            when (val answer = peer.history.answerTo(digest(version), digest(peer.version)) { 1_000 }) {
                is ConfigurationAnswer.UpToDate -> assertTrue(peer.version <= version)
                is ConfigurationAnswer.Document -> takeDocument(peer.version)
                is ConfigurationAnswer.Changes -> apply(damaged(answer.changes, random))
            }
        }

        private fun apply(changes: List<ConfigurationChange>) {
            val result: Either<ChangeFault, ByteArray> = application.apply(digest(version), document(version), changes)
            result.onRight {
                assertContentEquals(
                    document(
                        changes
                            .last()
                            .target.version
                            .toInt(),
                    ),
                    it,
                )
                assertTrue(changes.last().target.version > version)
                changes.forEach(history::add)
                version =
                    changes
                        .last()
                        .target.version
                        .toInt()
            }
        }

        private fun damaged(
            changes: List<ConfigurationChange>,
            random: Random?,
        ): List<ConfigurationChange> =
            when (random?.nextInt(6)) {
                0 -> changes.drop(1)
                1 -> changes.reversed()
                2 -> changes + changes.last()
                3 -> changes.map { ConfigurationChange(it.base, it.target, it.delta.copyOf(it.delta.size - 1)) }
                else -> changes
            }
    }

    private companion object {
        const val SEEDS = 200
        const val STEPS = 60
    }
}
