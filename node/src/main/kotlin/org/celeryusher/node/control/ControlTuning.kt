package org.celeryusher.node.control

import org.celeryusher.kernel.distribution.DisseminationSettings
import org.celeryusher.kernel.distribution.FloorSettings
import org.celeryusher.kernel.distribution.ReaderSettings
import org.celeryusher.kernel.membership.MembershipSettings
import org.celeryusher.node.settings.ControlSettings
import kotlin.time.Duration.Companion.milliseconds

/** The settings of the kernel's state machines that a control plane drives. */
internal data class ControlTuning(
    val membership: MembershipSettings = MembershipSettings(),
    val dissemination: DisseminationSettings = DisseminationSettings(),
    val floor: FloorSettings = FloorSettings(),
    val configurationReader: ReaderSettings = ReaderSettings.CONFIGURATION,
    val instanceReader: ReaderSettings = ReaderSettings.INSTANCES,
) {
    companion object {
        /** Derives the settings of the state machines from a node's [settings]. */
        fun of(settings: ControlSettings): ControlTuning {
            val watch = minOf(settings.watchMilliseconds.milliseconds, ReaderSettings.CONFIGURATION.watchWait)
            return ControlTuning(
                membership = MembershipSettings(probeInterval = settings.gossipIntervalMilliseconds.milliseconds),
                floor = FloorSettings(waitLimit = settings.floorWaitMilliseconds.milliseconds),
                configurationReader = ReaderSettings.CONFIGURATION.copy(watchWait = watch),
            )
        }
    }
}
