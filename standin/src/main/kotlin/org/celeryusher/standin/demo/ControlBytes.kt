package org.celeryusher.standin.demo

import org.celeryusher.standin.fleet.FleetInstance
import org.celeryusher.standin.load.Caller
import org.celeryusher.standin.load.CallerRequest
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** Reads how many control bytes nodes have sent and received, from their metrics. */
internal class ControlBytes(
    private val caller: Caller,
) {
    /** Returns the sum over [instances], or null when no node tells. */
    suspend fun total(instances: List<FleetInstance>): Double? {
        val told = instances.mapNotNull { ofNode(it) }
        return if (told.isEmpty()) null else told.sum()
    }

    private suspend fun ofNode(instance: FleetInstance): Double? =
        try {
            val answer = caller.send(instance.node.settings.addresses.admin, CallerRequest("GET", "/metrics", 2.seconds))
            val values =
                answer
                    .body()
                    .decodeToString()
                    .lines()
                    .filter { line -> METRIC.containsMatchIn(line) }
                    .mapNotNull { it.substringAfterLast(' ').toDoubleOrNull() }
            if (values.isEmpty()) null else values.sum()
        } catch (_: IOException) {
            null
        }

    private companion object {
        val METRIC = Regex("^celeryusher_control_[a-z_]*bytes_total")
    }
}
