package org.celeryusher.kernel.distribution

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class SourceContactTest {
    private data class Case(
        val name: String,
        val list: Int,
        val configuration: Int,
        val heard: Int,
        val expected: Int,
    )

    /** Guards against readers that are left while a document takes long on their link, and against those that get nothing any more. */
    @Test
    fun aConfigurationThatIsArrivingCountsAsContactForALimitedTime() {
        val cases =
            listOf(
                Case("nothing arriving", 100, 300, 300, 300),
                Case("old list", 900, 300, 300, 900),
                Case("document arriving", 100, 900, 20, 100),
                Case("document arriving for long", 100, 1_900, 20, 900),
                Case("transfer at a standstill", 100, 1_400, 1_300, 1_300),
                Case("old list while a document arrives", 1_500, 900, 20, 1_500),
            )
        for (case in cases) {
            val age = SourceContact.age(case.list.milliseconds, case.configuration.milliseconds, case.heard.milliseconds)
            assertEquals(case.expected.milliseconds, age, case.name)
        }
    }
}
