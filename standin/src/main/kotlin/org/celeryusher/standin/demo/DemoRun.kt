package org.celeryusher.standin.demo

import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.celeryusher.kernel.configuration.ConfigurationDocument
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.ExceptionScope
import org.celeryusher.kernel.configuration.FleetException
import org.celeryusher.kernel.configuration.SettingsChange
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.standin.fleet.DeploymentShape
import org.celeryusher.standin.fleet.FleetInstance
import org.celeryusher.standin.fleet.LocalFleet
import org.celeryusher.standin.fleet.VersionMonitor
import org.celeryusher.standin.load.Caller
import org.celeryusher.standin.load.LoadGenerator
import org.celeryusher.standin.platform.PlatformCallCounts
import org.celeryusher.standin.platform.PlatformOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs the scenario of the demo: regular load, a valid and an invalid change, a killed instance, an instance that leaves, and work that
 * is sent twice.
 */
internal class DemoRun(
    private val shape: DeploymentShape,
    private val length: Duration,
    private val reportProgress: (String) -> Unit,
) {
    private val fleet = LocalFleet(shape, platformOptions = PlatformOptions(instanceListLag = Duration.ZERO))
    private val caller = Caller()
    private val load = LoadGenerator(fleet, caller)
    private val versionMonitor = VersionMonitor(fleet)
    private val publications = mutableListOf<PublicationResult>()
    private val promises = mutableListOf<PromiseResult>()
    private val stepLength = (length - FIXED_PARTS).coerceAtLeast(SHORTEST_LOAD) / LOAD_STEPS

    suspend fun run(): DemoReport =
        coroutineScope {
            reportProgress("starting ${shape.instances} nodes and backend servers")
            recordPromise("every node has the configuration in force and each route resolved after the start", fleet.start(), "")
            val countsBefore = fleet.platform.counts
            val start = TimeSource.Monotonic.markNow()
            val monitoring = launch { versionMonitor.run() }
            load.start(this)
            runSteps()
            load.finish()
            monitoring.cancelAndJoin()
            recordFinalPromises()
            val report = reportOf(countsBefore, start.elapsedNow())
            fleet.stop()
            caller.close()
            report
        }

    private suspend fun runSteps() {
        delay(stepLength)
        publishChange(2, "defaults.queuedCallsPerSlot + 2") { document ->
            document.copy(defaults = document.defaults.copy(queuedCallsPerSlot = document.defaults.queuedCallsPerSlot + 2))
        }
        publishInvalidDocument()
        publishChange(
            4,
            "the invalid change corrected: its exception has a reason",
        ) { it.copy(exceptions = it.exceptions + validException()) }
        delay(stepLength)
        val victim = fleet.instances.first { it.node.settings.service == shape.services.first().service }
        reportProgress("killing ${victim.name}: its node and its backend server")
        fleet.kill(victim)
        delay(stepLength)
        stopLeaving(fleet.inUse.first { it.node.settings.service == shape.services.first().service })
        promises += DuplicateSubmission(fleet, caller, shape.nonIdempotentPath).send()
        delay(stepLength)
    }

    private suspend fun publishChange(
        version: Long,
        change: String,
        edit: (ConfigurationDocument) -> ConfigurationDocument,
    ) {
        reportProgress("publishing version $version: $change")
        val start = TimeSource.Monotonic.markNow()
        fleet.platform.publish(edit(shape.document).copy(version = version))
        val inForce = fleet.awaitAll(CONVERGENCE_LIMIT) { it.version == version }
        val after = start.elapsedNow().inWholeMilliseconds.takeIf { inForce }
        publications += PublicationResult(version, change, after)
        recordPromise("version $version is in force on every node within $CONVERGENCE_LIMIT", inForce, "after ${after ?: "-"} ms")
    }

    private suspend fun publishInvalidDocument() {
        val invalid =
            shape.document.copy(
                version = INVALID_VERSION,
                routes = shape.document.routes.map { it.copy(service = ServiceName("nowhere")) },
                exceptions = listOf(validException().copy(reason = "")),
            )
        reportProgress("publishing version $INVALID_VERSION, which is invalid")
        val bytes = Json.encodeToString(invalid).encodeToByteArray()
        fleet.platform.publish(bytes)
        delay(INVALID_VERSION_WAIT)
        val applied = fleet.inUse.filter { it.version == INVALID_VERSION }.map(FleetInstance::name)
        val faults = ConfigurationParser.parse(bytes).fold({ found -> found.map { it.toString() } }, { emptyList() })
        publications += PublicationResult(INVALID_VERSION, "a route to an unknown service and an exception without a reason", null, faults)
        recordPromise(
            "the invalid version is not in force on any node, not even in part",
            applied.isEmpty() && INVALID_VERSION !in versionMonitor.versionsSeen,
            "$applied",
        )
    }

    private fun validException(): FleetException =
        FleetException(
            name = "longer-queue-in-one-data-centre",
            scope = ExceptionScope(dataCentre = shape.dataCentres.last()),
            change = SettingsChange(queuedCallsPerSlot = 12),
            reason = "The line of this data centre is renewed this week; its servers get work in bursts.",
        )

    private suspend fun stopLeaving(leaving: FleetInstance) {
        reportProgress("${leaving.name} is leaving")
        fleet.platform.markLeaving(leaving.name)
        delay(LEAVING_LIMIT)
        val runsAtLimit = leaving.server.counts.runs
        delay(LATE_RUN_OBSERVATION)
        val lateRuns = leaving.server.counts.runs - runsAtLimit
        recordPromise("a leaving backend server receives no new work after $LEAVING_LIMIT", lateRuns == 0L, "$lateRuns runs after that")
        fleet.stopGracefully(leaving)
        val interrupted = leaving.server.counts.stopped + load.unansweredCallsVia(leaving.name)
        recordPromise("the planned stop of ${leaving.name} interrupts no call in flight", interrupted == 0L, "$interrupted interrupted")
    }

    private fun recordFinalPromises() {
        val results = load.results
        recordPromise(
            "no node returns to an older version or routes by parts of two versions",
            versionMonitor.violations.isEmpty(),
            "${versionMonitor.violations}",
        )
        val mismatched = results.sumOf { it.mismatched }
        recordPromise(
            "every answer is complete and belongs to its request",
            mismatched == 0L,
            "$mismatched of ${results.sumOf { it.calls }} are not",
        )
        val startedMoreThanOnce = nonIdempotentRanks().flatMap { fleet.runCounter.startedMoreThanOnce(it) }
        recordPromise(
            "work that is not idempotent runs at most once",
            startedMoreThanOnce.isEmpty(),
            "${startedMoreThanOnce.size} ran more than once",
        )
        val wronglyReported = load.wronglyReportedAsNotRun(fleet.runCounter)
        recordPromise(
            "work that is reported as not run did not run",
            wronglyReported.isEmpty(),
            "${wronglyReported.size} reported as not run although they ran",
        )
        for (result in results.filter { it.rank.value !in nonIdempotentRanks() }) {
            val held = result.shareInTime >= IN_TIME_SHARE
            recordPromise("at least 99.9 % of ${result.rank} are answered in time", held, "${result.inTime} of ${result.calls}")
        }
    }

    private fun nonIdempotentRanks(): List<String> = shape.calls.filterNot { it.idempotent }.map { it.rank.value }

    private suspend fun reportOf(
        countsBefore: PlatformCallCounts,
        elapsed: Duration,
    ): DemoReport {
        val counts = fleet.platform.counts
        val calls = counts.total - countsBefore.total
        val seconds = elapsed.inWholeMilliseconds / 1_000.0
        val bytes = ControlBytesReader(caller).total(fleet.inUse)
        return DemoReport(
            deployment = shape.name,
            nodes = shape.instances,
            seconds = elapsed.inWholeSeconds.toInt(),
            publications = publications,
            control =
                ControlCost(
                    platformCalls = calls,
                    platformCallsPerNodeAndSecond = calls / seconds / shape.instances,
                    platformCallsMaximumPerSecond = counts.maximumPerSecond,
                    controlBytesPerNodeAndSecond = bytes?.let { it / fleet.inUse.size / seconds },
                ),
            ranks = load.results,
            onceWorks = load.nonIdempotentWorkCount,
            maximumRunsPerWork = nonIdempotentRanks().maxOf { fleet.runCounter.maximumRuns(it) },
            promises = promises,
        )
    }

    private fun recordPromise(
        promise: String,
        held: Boolean,
        detail: String,
    ) {
        promises += PromiseResult(promise, held, detail)
    }

    private companion object {
        const val INVALID_VERSION = 3L
        const val IN_TIME_SHARE = 0.999
        const val LOAD_STEPS = 4
        val CONVERGENCE_LIMIT = 8.seconds
        val INVALID_VERSION_WAIT = 1_500.milliseconds
        val LEAVING_LIMIT = 3.seconds
        val LATE_RUN_OBSERVATION = 1.seconds
        val FIXED_PARTS = 6.seconds
        val SHORTEST_LOAD = 2.seconds
    }
}
