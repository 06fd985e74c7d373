package org.celeryusher.kernel.configuration

import org.celeryusher.kernel.identity.RouteName

/** Returns the routes of the service at [place] whose runs may be refused there: those whose `runRefusalShare` is above 0. */
public fun ConfigurationSnapshot.routesWithRunAdmission(place: FleetPlace): Set<RouteName> =
    document.routes
        .filter { it.service == place.service && effectiveSettings(place.copy(route = it.name)).runRefusalShare > 0.0 }
        .mapTo(HashSet()) { it.name }
