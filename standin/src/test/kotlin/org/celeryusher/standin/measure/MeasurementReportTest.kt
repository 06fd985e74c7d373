package org.celeryusher.standin.measure

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class MeasurementReportTest {
    private val convergence =
        ConvergenceReport(
            "antwerp",
            listOf(ConvergenceRow("celeryusher", 13, 3, 1, 10.0, 20.5, 31.256, 11.0, 40, 2.0, 9.5, 1_234.5)),
        )
    private val latency = LatencyReport("sierra", listOf(LatencyRow("direct", 100, 2, 500, 900, 0, 0)))

    @Test
    fun tablesShowEachRow() {
        val cases =
            listOf(
                convergence to Regex("celeryusher +13 +3 +1 +10\\.00 +20\\.50 +31\\.26 +11\\.00 +2\\.00 +9\\.50 +1234\\.50"),
                latency to Regex("direct +100 +2 +500 +900 +0 +0"),
            )
        for ((report, row) in cases) assertContains(report.table(), row)
    }

    @Test
    fun reportsSurviveJson() {
        for (report in listOf<MeasurementReport>(convergence, latency)) {
            assertEquals(report, Json.decodeFromString<MeasurementReport>(Json.encodeToString(report)))
        }
    }
}
