package org.celeryusher.standin.fleet

import kotlinx.coroutines.delay
import org.celeryusher.kernel.identity.InstanceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Looks at the configuration in force on each node of a fleet, again and again, and keeps what must never be seen. */
public class VersionWatch(
    private val fleet: LocalFleet,
) {
    private val highest = ConcurrentHashMap<InstanceName, Long>()
    private val seen = ConcurrentHashMap.newKeySet<Long>()
    private val faults = ConcurrentHashMap.newKeySet<String>()

    /** Returns to an older version, and routing tables that do not belong to the configuration in force. */
    public val violations: List<String> get() = faults.sorted()

    /** All versions that were in force anywhere. */
    public val versionsSeen: Set<Long> get() = seen.toSet()

    /** Looks until cancelled. */
    public suspend fun run() {
        while (true) {
            fleet.inUse.forEach(::look)
            delay(LOOK_INTERVAL)
        }
    }

    private fun look(instance: FleetInstance) {
        val current = instance.node.routing.current
        val digest = current.snapshot?.digest ?: return
        seen += digest.version
        val before = highest.merge(instance.name, digest.version, ::maxOf) ?: digest.version
        if (digest.version < before) faults += "${instance.name} went back from version $before to ${digest.version}"
        if (current.table?.digest != digest) faults += "${instance.name} routes by another configuration than the one in force"
    }

    private companion object {
        val LOOK_INTERVAL = 5.milliseconds
    }
}
