package org.celeryusher.node.call

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.node.runtime.RoutingState

/** Applies to this guard, whose server is in [dataCentre], what must not be reached according to [current]. */
internal fun Guard.applyReach(
    dataCentre: DataCentreName,
    current: RoutingState.Current,
) {
    val evacuated = current.view.evacuated
    if (evacuated.isNotEmpty()) withHold { hold, _ -> hold.evacuationKnown() }
    changeEvacuation(dataCentre in evacuated)
    // The entry may have other settings, or an older configuration.
    current.table?.let { changeRoutesOutside(it.routesOutside(dataCentre)) }
}
