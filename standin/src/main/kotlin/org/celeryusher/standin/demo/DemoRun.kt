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
import org.celeryusher.standin.fleet.VersionWatch
import org.celeryusher.standin.load.Caller
import org.celeryusher.standin.load.LoadGenerator
import org.celeryusher.standin.platform.PlatformCallCounts
import org.celeryusher.standin.platform.PlatformOptions
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Plays the demo: ordinary load, a change, a bad change, a killed instance, a leaving one, a doubled collection. */
internal class DemoRun(
    private val shape: DeploymentShape,
    private val length: Duration,
    private val tell: (String) -> Unit,
) {
    private val fleet = LocalFleet(shape, platformOptions = PlatformOptions(instanceListLag = Duration.ZERO))
    private val caller = Caller()
    private val load = LoadGenerator(fleet, caller)
    private val watch = VersionWatch(fleet)
    private val publications = mutableListOf<PublicationResult>()
    private val promises = mutableListOf<PromiseResult>()
    private val step = (length - FIXED_PARTS).coerceAtLeast(SHORTEST_LOAD) / LOAD_STEPS

    suspend fun run(): DemoReport =
        coroutineScope {
            tell("starting ${shape.instances} nodes and backend servers")
            promise("every node has the configuration in force and each route resolved after the start", fleet.start(), "")
            val countsBefore = fleet.platform.counts
            val start = TimeSource.Monotonic.markNow()
            val watching = launch { watch.run() }
            load.start(this)
            playSteps()
            load.finish()
            watching.cancelAndJoin()
            addPromises()
            val report = reportOf(countsBefore, start.elapsedNow())
            fleet.stop()
            caller.close()
            report
        }

    private suspend fun playSteps() {
        delay(step)
        publishChange(2, "defaults.queuedCallsPerSlot + 2") { document ->
            document.copy(defaults = document.defaults.copy(queuedCallsPerSlot = document.defaults.queuedCallsPerSlot + 2))
        }
        publishBadChange()
        publishChange(4, "the bad change mended: its exception has a reason") { it.copy(exceptions = it.exceptions + mendedException()) }
        delay(step)
        val victim = fleet.instances.first { it.node.settings.service == shape.services.first().service }
        tell("killing ${victim.name}: its node and its backend server")
        fleet.kill(victim)
        delay(step)
        drain(fleet.inUse.first { it.node.settings.service == shape.services.first().service })
        promises += DoubledWork(fleet, caller, shape.oncePath).send()
        delay(step)
    }

    private suspend fun publishChange(
        version: Long,
        change: String,
        edit: (ConfigurationDocument) -> ConfigurationDocument,
    ) {
        tell("publishing version $version: $change")
        val start = TimeSource.Monotonic.markNow()
        fleet.platform.publish(edit(shape.document).copy(version = version))
        val inForce = fleet.awaitAll(CONVERGENCE_LIMIT) { it.version == version }
        val after = start.elapsedNow().inWholeMilliseconds.takeIf { inForce }
        publications += PublicationResult(version, change, after)
        promise("version $version is in force on every node within $CONVERGENCE_LIMIT", inForce, "after ${after ?: "-"} ms")
    }

    private suspend fun publishBadChange() {
        val bad =
            shape.document.copy(
                version = BAD_VERSION,
                routes = shape.document.routes.map { it.copy(service = ServiceName("nowhere")) },
                exceptions = listOf(mendedException().copy(reason = "")),
            )
        tell("publishing version $BAD_VERSION, which is bad")
        val bytes = Json.encodeToString(bad).encodeToByteArray()
        fleet.platform.publish(bytes)
        delay(BAD_VERSION_WAIT)
        val taken = fleet.inUse.filter { it.version == BAD_VERSION }.map(FleetInstance::name)
        val faults = ConfigurationParser.parse(bytes).fold({ found -> found.map { it.toString() } }, { emptyList() })
        publications += PublicationResult(BAD_VERSION, "a route to an unknown service, an exception without reason", null, faults)
        promise("the bad version is in force nowhere, not even in part", taken.isEmpty() && BAD_VERSION !in watch.versionsSeen, "$taken")
    }

    private fun mendedException(): FleetException =
        FleetException(
            name = "longer-queue-in-one-data-centre",
            scope = ExceptionScope(dataCentre = shape.dataCentres.last()),
            change = SettingsChange(queuedCallsPerSlot = 12),
            reason = "The line of this data centre is renewed this week; its servers get work in bursts.",
        )

    private suspend fun drain(leaving: FleetInstance) {
        tell("${leaving.name} leaves")
        fleet.platform.markLeaving(leaving.name)
        delay(LEAVING_LIMIT)
        val runsAtLimit = leaving.server.counts.runs
        delay(LEAVING_WATCH)
        val lateRuns = leaving.server.counts.runs - runsAtLimit
        promise("a leaving backend server receives no new work after $LEAVING_LIMIT", lateRuns == 0L, "$lateRuns later runs")
        fleet.stopGracefully(leaving)
        val cut = leaving.server.counts.stopped + load.callsCutVia(leaving.name)
        promise("the planned stop of ${leaving.name} cuts no call in flight", cut == 0L, "$cut cut")
    }

    private fun addPromises() {
        val results = load.results
        promise("no node goes back to an older version or routes by parts of two", watch.violations.isEmpty(), "${watch.violations}")
        val mismatched = results.sumOf { it.mismatched }
        promise("every answer is whole and its caller's own", mismatched == 0L, "$mismatched of ${results.sumOf { it.calls }} are not")
        val doubled = onceRanks().flatMap { fleet.ledger.doubled(it) }
        promise("work that is not idempotent runs at most once", doubled.isEmpty(), "${doubled.size} doubled")
        val falsely = load.falselyNotRun(fleet.ledger)
        promise("work that is reported as not run did not run", falsely.isEmpty(), "${falsely.size} falsely not run")
        for (result in results.filter { it.rank.value !in onceRanks() }) {
            val held = result.shareInTime >= IN_TIME_SHARE
            promise("at least 99.9 % of ${result.rank} are answered in time", held, "${result.inTime} of ${result.calls}")
        }
    }

    private fun onceRanks(): List<String> = shape.calls.filterNot { it.idempotent }.map { it.rank.value }

    private suspend fun reportOf(
        countsBefore: PlatformCallCounts,
        elapsed: Duration,
    ): DemoReport {
        val counts = fleet.platform.counts
        val calls = counts.total - countsBefore.total
        val seconds = elapsed.inWholeMilliseconds / 1_000.0
        val bytes = ControlBytes(caller).total(fleet.inUse)
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
            onceWorks = load.onceWorks,
            maximumRunsPerWork = onceRanks().maxOf { fleet.ledger.maximumRuns(it) },
            promises = promises,
        )
    }

    private fun promise(
        promise: String,
        held: Boolean,
        detail: String,
    ) {
        promises += PromiseResult(promise, held, detail)
    }

    private companion object {
        const val BAD_VERSION = 3L
        const val IN_TIME_SHARE = 0.999
        const val LOAD_STEPS = 4
        val CONVERGENCE_LIMIT = 8.seconds
        val BAD_VERSION_WAIT = 1_500.milliseconds
        val LEAVING_LIMIT = 3.seconds
        val LEAVING_WATCH = 1.seconds
        val FIXED_PARTS = 6.seconds
        val SHORTEST_LOAD = 2.seconds
    }
}
