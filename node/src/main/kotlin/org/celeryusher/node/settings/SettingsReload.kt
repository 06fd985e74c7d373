package org.celeryusher.node.settings

import io.github.oshai.kotlinlogging.KotlinLogging
import java.nio.file.Path

/**
 * Compares the settings file with the settings that a node runs with.
 *
 * Settings say who a node is and where it listens, so nothing of them changes under a running node: what differs is logged, and is in force
 * after the next start. A file with faults is logged and otherwise ignored.
 */
internal class SettingsReload(
    private val file: Path,
    private val running: NodeSettings,
) {
    private var known: NodeSettings? = running

    /** Reads the file, because of [signal] or, for null, because it may have changed; returns the fields that differ from those in force. */
    fun check(signal: String?): List<String> {
        val found = NodeSettingsReader.read(file).fold({ faults -> return refused(faults, signal) }, { it })
        val isNews = signal != null || found != known
        known = found
        val different = fieldsThatDiffer(found)
        if (isNews) {
            logger.info {
                "settings read again (${signal ?: "the file changed"}); in force after the next start: ${different.ifEmpty { "nothing" }}"
            }
        }
        return different
    }

    private fun refused(
        faults: List<SettingsFault>,
        signal: String?,
    ): List<String> {
        if (signal != null || known != null) logger.warn { "the settings file has faults and is ignored: ${faults.joinToString("; ")}" }
        known = null
        return emptyList()
    }

    private fun fieldsThatDiffer(found: NodeSettings): List<String> =
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
