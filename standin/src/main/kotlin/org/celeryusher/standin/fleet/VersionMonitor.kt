package org.celeryusher.standin.fleet

import kotlinx.coroutines.delay
import org.celeryusher.kernel.identity.InstanceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/** Polls the configuration in force on each node of a fleet and records violations of its invariants. */
public class VersionMonitor(
    private val fleet: LocalFleet,
) {
    private val highest = ConcurrentHashMap<InstanceName, Long>()
    private val seen = ConcurrentHashMap.newKeySet<Long>()
    private val foundViolations = ConcurrentHashMap.newKeySet<String>()

    /** Descriptions of rollbacks to an older version, and of routing tables that do not match the configuration in force. */
    public val violations: List<String> get() = foundViolations.sorted()

    /** All versions that have been in force on any node. */
    public val versionsSeen: Set<Long> get() = seen.toSet()

    /** Polls until it is cancelled. */
    public suspend fun run() {
        while (true) {
            fleet.inUse.forEach(::check)
            delay(POLL_INTERVAL)
        }
    }

    private fun check(instance: FleetInstance) {
        val current = instance.node.routing.current
        val digest = current.snapshot?.digest ?: return
        seen += digest.version
        val before = highest.merge(instance.name, digest.version, ::maxOf) ?: digest.version
        if (digest.version < before) foundViolations += "${instance.name} went back from version $before to ${digest.version}"
        if (current.table?.digest != digest) foundViolations += "${instance.name} routes by a configuration other than the one in force"
    }

    private companion object {
        val POLL_INTERVAL = 5.milliseconds
    }
}
