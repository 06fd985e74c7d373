package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.PlatformInstance

/**
 * The answer to `GET /control/instances`: the platform's instance list in [revision], as the difference from [base].
 *
 * A null [base] stands for the whole list. A [revision] that is not higher than the asking node's comes with nothing.
 */
@Serializable
internal data class InstanceListTransfer(
    val revision: Long,
    val base: Long? = null,
    val changed: List<PlatformInstance> = emptyList(),
    val removed: List<InstanceName> = emptyList(),
)
