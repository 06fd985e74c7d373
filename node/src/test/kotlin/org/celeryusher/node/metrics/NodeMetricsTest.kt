package org.celeryusher.node.metrics

import arrow.core.getOrElse
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.FleetPlace
import org.celeryusher.kernel.distribution.SourceMode
import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.node.command.projectText
import org.celeryusher.node.control.ControlStatus
import org.celeryusher.node.control.ControlTrafficCounts
import org.celeryusher.node.control.RefusedStatus
import org.celeryusher.node.control.SourceReadStatus
import org.celeryusher.node.control.SourceStatus
import org.celeryusher.node.control.TransferStatus
import org.celeryusher.node.control.VersionLagStatus
import org.celeryusher.node.runtime.RoutingState
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds

class NodeMetricsTest {
    private val routing = RoutingState(FleetPlace(DataCentreName("antwerp-1"), ServiceName("billing-desk"), InstanceName("billing-desk-1")))
    private val snapshot =
        ConfigurationParser.parse(projectText("examples/antwerp.json").encodeToByteArray()).getOrElse { error("$it") }

    /** Guards against operators who cannot tell whether a node reads the platform, and how its reads end. */
    @Test
    fun readsOfThePlatformAppearInTheScrape() {
        val metrics = NodeMetrics(routing)
        val counts = ReadCounts()
        repeat(3) { counts.record(ReadKind.CONFIGURATION, ReadOutcome.ANSWERED) }
        counts.record(ReadKind.EVACUATIONS, ReadOutcome.FAILED)
        val status = SourceReadStatus(SourceMode.FOLLOWING, null, 0, 10, 2_500, null, counts.describe())
        val transfers = TransferStatus(changesSent = 4, changeBytesSent = 400, documentsReceived = 1, changesRefused = 2)
        metrics.registerSourceMeters(counts) { status.copy(lag = VersionLagStatus(7, 1_500), transfers = transfers) }
        val expected =
            listOf(
                """celeryusher_source_reads_total{outcome="answered",read="configuration"} 3.0""",
                """celeryusher_source_reads_total{outcome="failed",read="evacuations"} 1.0""",
                """celeryusher_source_mode{mode="following"} 1.0""",
                """celeryusher_source_mode{mode="reading"} 0.0""",
                """celeryusher_instances_source_age_seconds 2.5""",
                """celeryusher_evacuations_listing_age_seconds NaN""",
                """celeryusher_configuration_sent_total{form="changes"} 4.0""",
                """celeryusher_configuration_sent_bytes_total{form="changes"} 400.0""",
                """celeryusher_configuration_received_total{form="document"} 1.0""",
                """celeryusher_configuration_changes_refused_total 2.0""",
                """celeryusher_configuration_lag_seconds 1.5""",
            )
        val lines = metrics.scrape().lines()
        for (line in expected) assertContains(lines, line, message = lines.joinToString("\n"))
    }

    @Test
    fun recordedValuesAppearInTheScrape() {
        val metrics = filledMetrics()
        routing.putInForce(snapshot)
        val lines = metrics.scrape().lines()
        val expected =
            listOf(
                """celeryusher_calls_total{outcome="ANSWERED",rank="lookups",route="invoices"} 2.0""",
                """celeryusher_calls_total{outcome="OVERLOADED",rank="archives",route="archives"} 1.0""",
                """celeryusher_calls_total{outcome="NO_ROUTE",rank="none",route="none"} 1.0""",
                """celeryusher_call_duration_seconds_bucket{rank="lookups",route="invoices",le="0.005"} 1""",
                """celeryusher_call_duration_seconds_count{rank="lookups",route="invoices"} 2""",
                """celeryusher_retries_total{result="made"} 1.0""",
                """celeryusher_retries_total{result="refused"} 1.0""",
                """celeryusher_control_messages_total{direction="sent"} 12.0""",
                """celeryusher_control_bytes_total{direction="received"} 900.0""",
                """celeryusher_control_faults_total{cause="malformed"} 2.0""",
                """celeryusher_platform_calls_total{read="configuration"} 5.0""",
                """celeryusher_configuration_refusals{cause="faults"} 1.0""",
                """celeryusher_configuration_version 1.0""",
                """celeryusher_configuration_source_age_seconds 7.0""",
                """celeryusher_routes{state="held"} 6.0""",
                """celeryusher_members{state="suspected"} 0.0""",
                """celeryusher_guard_calls{state="queued"} 3.0""",
                """celeryusher_guard_limit 6.0""",
                """celeryusher_quarantine_requests 1.0""",
            )
        for (line in expected) assertContains(lines, line, message = lines.joinToString("\n"))
    }

    @Test
    fun everyMetricIsDocumentedOnTheAlertsPage() {
        val page = projectText("docs/operators/alerts.md")
        val names =
            filledMetrics()
                .scrape()
                .lines()
                .filter { it.startsWith("# TYPE ") }
                .map { it.split(' ')[2].removeSuffix("_max") }
        for (name in names) assertContains(page, "`$name", message = "$name is not documented")
    }

    @Test
    fun metersOfRemovedRoutesAreRemoved() {
        val metrics = filledMetrics()
        metrics.recordCall(RouteName("invoices"), RankName("archives"), null, 1.milliseconds)
        metrics.recordCall(RouteName("gone"), RankName("lookups"), null, 1.milliseconds)
        metrics.removeStaleRouteMeters(snapshot)
        val counts = metrics.callCounts()
        assertEquals(listOf("archives/archives", "invoices/lookups", "null/null"), counts.map { "${it.route}/${it.rank}" })
        assertFalse("gone" in metrics.scrape())
    }

    @Test
    fun nodesOfOneProcessShareNoMetrics() {
        filledMetrics()
        assertEquals(emptyList(), NodeMetrics(routing).callCounts())
    }

    private fun filledMetrics(): NodeMetrics =
        NodeMetrics(routing).apply {
            recordCall(RouteName("invoices"), RankName("lookups"), null, 4.milliseconds)
            recordCall(RouteName("invoices"), RankName("lookups"), null, 40.milliseconds)
            recordCall(RouteName("archives"), RankName("archives"), ErrorKind.OVERLOADED, 1.milliseconds)
            recordUnroutedCall(ErrorKind.NO_ROUTE)
            recordRetry()
            recordRefusedRetry()
            registerControlMeters { controlStatus() }
            registerGuardMeters { GuardLoad(limit = 6, running = 6, queued = 3, ranks = emptyList()) }
            registerQuarantineMeters { 1 }
        }

    private fun controlStatus(): ControlStatus =
        ControlStatus(
            instance = InstanceName("billing-desk-1"),
            incarnation = Incarnation(1),
            configuration = null,
            floor = null,
            refused = listOf(RefusedStatus(2, "platform", 10, listOf("$.version: must be 1 or more (found 0)"))),
            conflicts = emptyList(),
            configurationSource = SourceStatus(7_000, 0),
            instancesSource = SourceStatus(null, 0),
            instancesRevision = null,
            members = emptyList(),
            isLeaving = false,
            needsRefresh = false,
            healthMultiplier = 1,
            traffic = ControlTrafficCounts(11, 12, 900, 300, 1, 2, 0, 5, 6),
        )
}
