package org.celeryusher.standin.demo

import org.celeryusher.standin.fleet.FleetInstance
import org.celeryusher.standin.load.Caller
import org.celeryusher.standin.load.CallerRequest
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** Reads from the metrics of nodes how many bytes of control messages they have sent and received. */
internal class ControlBytesReader(
    private val caller: Caller,
) {
    /** Returns the sum over [instances], or null if no node reports the metric. */
    suspend fun total(instances: List<FleetInstance>): Double? {
        val readings = instances.mapNotNull { readNode(it) }
        return if (readings.isEmpty()) null else readings.sum()
    }

    private suspend fun readNode(instance: FleetInstance): Double? =
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
