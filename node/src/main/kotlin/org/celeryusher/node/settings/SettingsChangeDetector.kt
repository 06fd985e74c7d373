package org.celeryusher.node.settings

import io.github.oshai.kotlinlogging.KotlinLogging
import java.nio.file.Path

/**
 * Detects changes of the settings file and logs which fields differ from the settings that the node runs with.
 *
 * Settings define the identity and the addresses of a node, so a running node never applies a change: it takes effect at the next start.
 * The faults of an invalid file are logged, and the file is otherwise ignored.
 */
internal class SettingsChangeDetector(
    private val file: Path,
    private val running: NodeSettings,
) {
    // Null while the file has faults.
    private var lastRead: NodeSettings? = running

    /** Reads the file and returns the fields that differ from the running settings. Without a [signal] it logs only changes. */
    fun check(signal: String?): List<String> {
        val found = NodeSettingsReader.read(file).fold({ faults -> return reportFaults(faults, signal) }, { it })
        val shouldLog = signal != null || found != lastRead
        lastRead = found
        val different = differingFields(found)
        if (shouldLog) {
            logger.info {
                "settings file read (${signal ?: "the file changed"}); fields to change at the next start: ${different.ifEmpty { "none" }}"
            }
            if (found.warnings.isNotEmpty()) logger.warn { "ignoring what is not understood: ${found.warnings.joinToString("; ")}" }
        }
        return different
    }

    private fun reportFaults(
        faults: List<SettingsFault>,
        signal: String?,
    ): List<String> {
        if (signal != null || lastRead != null) logger.warn { "settings file ignored because of faults: ${faults.joinToString("; ")}" }
        lastRead = null
        return emptyList()
    }

    private fun differingFields(found: NodeSettings): List<String> =
        listOf(
            "instance" to (found.instance != running.instance),
            "service" to (found.service != running.service),
            "dataCentre" to (found.dataCentre != running.dataCentre),
            "addresses" to (found.addresses != running.addresses),
            "backendServer" to (found.backendServer != running.backendServer),
            "platform" to (found.platform != running.platform),
            "limits" to (found.limits != running.limits),
            "control" to (found.control != running.control),
            "fleetDefaults" to (found.fleetDefaults != running.fleetDefaults),
        ).filter { (_, isDifferent) -> isDifferent }.map { (name, _) -> name }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
