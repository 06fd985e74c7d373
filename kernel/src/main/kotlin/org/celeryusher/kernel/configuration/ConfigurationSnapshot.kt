package org.celeryusher.kernel.configuration

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/**
 * An immutable configuration that was validated as a whole.
 *
 * Only [ConfigurationParser] creates snapshots, so every snapshot is valid.
 */
public class ConfigurationSnapshot internal constructor(
    public val document: ConfigurationDocument,
    public val digest: ConfigurationDigest,
    canonicalText: Lazy<String>,
) {
    /** The document as canonical JSON, which can be sent to other nodes and parsed into an equal snapshot. */
    public val canonicalText: String by canonicalText

    private val servicesByName = document.services.associateBy(ServiceDeclaration::name)
    private val routesByName = document.routes.associateBy(RouteDeclaration::name)
    private val rankPositions = document.ranks.mapIndexed { index, rank -> rank.name to index }.toMap()

    /** Returns the declaration of [service], or null when the document does not declare it. */
    public fun service(service: ServiceName): ServiceDeclaration? = servicesByName[service]

    /** Returns the declaration of [route], or null when the document does not declare it. */
    public fun route(route: RouteName): RouteDeclaration? = routesByName[route]

    /** Returns the position of [rank], 0 for the most urgent. */
    public fun rankPosition(rank: RankName): Int = rankPositions.getValue(rank)

    /**
     * Returns the settings that apply at [place].
     *
     * The route's settings override the defaults, and matching exceptions override both. More specific exceptions override less specific
     * ones.
     */
    public fun effectiveSettings(place: FleetPlace): FleetSettings {
        val withRoute = routeOf(place)?.settings?.applyTo(document.defaults) ?: document.defaults
        return exceptionsAt(place).fold(withRoute) { settings, exception -> exception.change.applyTo(settings) }
    }

    /** Returns each setting of [effectiveSettings] with the part of the document that defines its value. */
    public fun explain(place: FleetPlace): List<ExplainedSetting> {
        val origins = mutableMapOf<String, SettingOrigin>()
        routeOf(place)?.let { route ->
            SettingLimits.valuesOf(route.settings).keys.associateWithTo(origins) { SettingOrigin.Route(route.name) }
        }
        for (exception in exceptionsAt(place)) {
            val origin = SettingOrigin.Exception(exception.name, exception.reason)
            SettingLimits.valuesOf(exception.change).keys.associateWithTo(origins) { origin }
        }
        return SettingLimits.valuesOf(effectiveSettings(place)).map { (name, value) ->
            ExplainedSetting(name, value.content, origins[name] ?: SettingOrigin.Default)
        }
    }

    private fun routeOf(place: FleetPlace): RouteDeclaration? = place.route?.let(routesByName::get)

    private fun exceptionsAt(place: FleetPlace): List<FleetException> =
        document.exceptions
            .filter { place.isWithin(it.scope) }
            .sortedBy { it.scope.specificity }
}

/** The place in the fleet for which settings are resolved. [route] is null for settings that do not depend on a route. */
public data class FleetPlace(
    public val dataCentre: DataCentreName,
    public val service: ServiceName,
    public val instance: InstanceName,
    public val route: RouteName? = null,
) {
    /** Returns whether an exception with [scope] applies to this place. */
    public fun isWithin(scope: ExceptionScope): Boolean =
        (scope.dataCentre == null || scope.dataCentre == dataCentre) &&
            (scope.service == null || scope.service == service) &&
            (scope.instance == null || scope.instance == instance) &&
            (scope.route == null || scope.route == route)
}

/** The precedence of overlapping exceptions: an instance outweighs a route, a route a service, and a service a data centre. */
public val ExceptionScope.specificity: Int
    get() =
        (if (instance != null) 8 else 0) +
            (if (route != null) 4 else 0) +
            (if (service != null) 2 else 0) +
            (if (dataCentre != null) 1 else 0)
