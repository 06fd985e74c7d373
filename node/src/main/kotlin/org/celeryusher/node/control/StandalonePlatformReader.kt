package org.celeryusher.node.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.membership.MemberState
import org.celeryusher.kernel.membership.MembershipView
import org.celeryusher.kernel.membership.PlatformInstanceList
import org.celeryusher.kernel.membership.PlatformInstanceState
import org.celeryusher.node.runtime.RoutingState
import org.celeryusher.node.settings.ControlSettings
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reads configuration and instance list directly from the platform, without other nodes.
 *
 * With it every node watches the platform, which is the baseline that measurements compare with.
 */
internal class StandalonePlatformReader(
    private val platform: PlatformClient,
    private val routing: RoutingState,
    private val settings: ControlSettings,
) {
    /** Reads until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { watchConfiguration() }
            launch { readInstances() }
        }

    private suspend fun watchConfiguration() {
        while (true) {
            val version =
                routing.current.snapshot
                    ?.digest
                    ?.version ?: 0
            when (val answer = platform.watchConfiguration(version, settings.watchMilliseconds.milliseconds)) {
                is PlatformAnswer.Value -> apply(answer.value, version)
                is PlatformAnswer.Unchanged -> Unit
                is PlatformAnswer.Unavailable -> delay(RETRY_DELAY)
            }
        }
    }

    private suspend fun apply(
        document: ByteArray,
        heldVersion: Long,
    ) {
        ConfigurationParser.parse(document).fold(
            { faults ->
                logger.warn { "configuration refused: ${faults.joinToString("; ")}" }
                delay(RETRY_DELAY)
            },
            { snapshot -> if (snapshot.digest.version > heldVersion) routing.putInForce(snapshot) else delay(RETRY_DELAY) },
        )
    }

    private suspend fun readInstances() {
        while (true) {
            val answer = platform.readInstances()
            if (answer is PlatformAnswer.Value) routing.updateView(viewOf(answer.value))
            delay(LIST_INTERVAL)
        }
    }

    private fun viewOf(list: PlatformInstanceList): MembershipView =
        MembershipView(
            list.instances.map {
                Member(
                    instance = it.instance,
                    service = it.service,
                    dataCentre = it.dataCentre,
                    controlAddress = it.controlAddress,
                    frameAddress = it.frameAddress,
                    serverAddress = it.serverAddress,
                    state = if (it.state == PlatformInstanceState.LIVE) MemberState.LIVE else MemberState.LEAVING,
                )
            },
        )

    private companion object {
        val RETRY_DELAY = 1.seconds
        val LIST_INTERVAL = 1.seconds
        val logger = KotlinLogging.logger {}
    }
}
