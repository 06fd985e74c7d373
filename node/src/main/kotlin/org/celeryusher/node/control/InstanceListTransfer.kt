package org.celeryusher.node.control

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.PlatformInstance

/**
 * The response to `GET /control/instances`: the platform's instance list at [revision], as the delta from [base].
 *
 * A null [base] means the full list. The delta is empty when [revision] is not higher than the one of the requesting node.
 */
@Serializable
internal data class InstanceListTransfer(
    val revision: Long,
    val base: Long? = null,
    val changed: List<PlatformInstance> = emptyList(),
    val removed: List<InstanceName> = emptyList(),
)
