package org.celeryusher.kernel.routing

import arrow.core.toNonEmptyListOrNull
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.admission.RankLoad
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.configuration.RouteDeclaration
import org.celeryusher.kernel.configuration.ServiceDeclaration
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.time.Moment
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a proxy that sends calls to a server which has told it that it leaves, whatever its guard knows by then. */
class LeavingServerTest {
    private val now = Moment(0)
    private val service = ServiceName("desk")
    private val members =
        listOf("a", "b").mapIndexed { index, name ->
            val address = Address("127.0.0.1", index + 1)
            Member(InstanceName(name), service, DataCentreName("east"), address, address, address)
        }
    private val route =
        ResolvedRoute(
            RouteDeclaration(RouteName("lookups"), "GET", "/", service, RankName("lookups"), idempotent = true),
            ServiceDeclaration(service, slots = 6, connections = 120),
            FleetSettings(targetLatencyMilliseconds = 500),
            0,
            checkNotNull(members.toNonEmptyListOrNull()),
        )

    private var process: Incarnation? = null

    private sealed interface Event {
        data class Answer(
            val leaving: String?,
            val process: Long? = null,
        ) : Event

        data class Report(
            val leaving: String?,
            val process: Long? = null,
        ) : Event

        /** The list shows another process of the server, which started at [start] if that is known. */
        data class Restart(
            val start: Long? = null,
        ) : Event

        data object Listed : Event

        data object Removed : Event
    }

    @Test
    fun aServerThatLeavesIsNotChosenUntilAnotherProcessOfItIsListed() {
        val cases =
            listOf(
                listOf<Event>(Event.Answer(null)) to true,
                listOf(Event.Answer("a")) to false,
                listOf(Event.Report("a")) to false,
                listOf(Event.Answer("a"), Event.Report(null)) to false,
                listOf(Event.Answer("a"), Event.Answer(null), Event.Answer(null)) to false,
                listOf(Event.Report("the server that ran at this address before")) to true,
                listOf(Event.Answer("a"), Event.Restart()) to true,
                listOf(Event.Restart(1_000), Event.Answer("a", 1_000)) to false,
                listOf(Event.Restart(1_000), Event.Answer("a", 1_000), Event.Restart(2_000)) to true,
                listOf(Event.Restart(2_000), Event.Answer("a", 1_000)) to true,
                listOf(Event.Restart(2_000), Event.Report("a", 1_000)) to true,
                listOf(Event.Restart(2_000), Event.Answer("a", 1_000), Event.Answer("a", 2_000)) to false,
                listOf(Event.Restart(1_000), Event.Answer("a", 2_000), Event.Restart(2_000), Event.Answer("a", 2_000)) to false,
                listOf(Event.Restart(1_000), Event.Report("a")) to false,
                listOf(Event.Answer("a"), Event.Removed, Event.Listed) to true,
            )
        for ((events, isChosen) in cases) {
            val loads = EndpointLoadTracker()
            loads.recordSent(members[0].instance)
            process = null
            events.forEach { apply(it, loads) }
            val chooser = BackendServerChooser(DataCentreDistances(DataCentreName("east"), 1.milliseconds), loads)
            val choice = chooser.choose(route, tried = setOf(members[1].instance), now + 10.seconds, Random(1))
            assertEquals(isChosen, choice is EndpointChoice.Chosen, "$events")
        }
    }

    private fun apply(
        event: Event,
        loads: EndpointLoadTracker,
    ) {
        val first = members[0].instance
        when (event) {
            is Event.Answer -> {
                loads.recordResult(first, CallResult.Served(1.milliseconds), loadWith(event.leaving, event.process), now, process)
            }
            is Event.Report -> loads.recordPushedLoad(first, loadWith(event.leaving, event.process), now, process)
            is Event.Restart -> {
                process = event.start?.let { Incarnation(it) }
                loads.recordColdStart(first, now)
            }
            is Event.Listed -> loads.recordListed(first)
            is Event.Removed -> loads.retainOnly(emptySet())
        }
    }

    private fun loadWith(
        leaving: String?,
        process: Long?,
    ) = GuardLoad(
        limit = 6,
        running = 0,
        queued = 0,
        ranks = listOf(RankLoad(0, accepting = true)),
        leavingServer =
            leaving?.let {
                InstanceName(it)
            },
        leavingProcess = process,
    )
}
