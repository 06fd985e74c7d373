package org.celeryusher.kernel.configuration

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName

/**
 * One accepted configuration, validated as a whole and immutable.
 *
 * Obtain it from [ConfigurationParser]; there is no other way to a snapshot, so whatever holds one holds a valid configuration.
 */
public class ConfigurationSnapshot internal constructor(
    public val document: ConfigurationDocument,
    public val digest: ConfigurationDigest,
    canonicalText: Lazy<String>,
) {
    /** The document as canonical JSON: parse it again for an equal snapshot, or send it to another node. */
    public val canonicalText: String by canonicalText

    private val servicesByName = document.services.associateBy(ServiceDeclaration::name)
    private val routesByName = document.routes.associateBy(RouteDeclaration::name)
    private val rankPositions = document.ranks.mapIndexed { index, rank -> rank.name to index }.toMap()

    /** Returns the declaration of [service], or null when the document has none. */
    public fun service(service: ServiceName): ServiceDeclaration? = servicesByName[service]

    /** Returns the declaration of [route], or null when the document has none. */
    public fun route(route: RouteName): RouteDeclaration? = routesByName[route]

    /** Returns the position of [rank], 0 for the most urgent. */
    public fun rankPosition(rank: RankName): Int = rankPositions.getValue(rank)

    /**
     * Returns the settings in force at one place of the fleet: the defaults, then the route's own settings, then each matching
     * exception, the less specific first.
     */
    public fun effectiveSettings(place: FleetPlace): FleetSettings {
        val withRoute = routeOf(place)?.settings?.applyTo(document.defaults) ?: document.defaults
        return exceptionsAt(place).fold(withRoute) { settings, exception -> exception.change.applyTo(settings) }
    }

    /** Returns the settings of [effectiveSettings] one by one, each with the part of the document that gave it its value. */
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

/** One place of the fleet for which settings are looked up; [route] is null for settings that belong to no route. */
public data class FleetPlace(
    public val dataCentre: DataCentreName,
    public val service: ServiceName,
    public val instance: InstanceName,
    public val route: RouteName? = null,
) {
    /** Returns whether an exception with [scope] applies here. */
    public fun isWithin(scope: ExceptionScope): Boolean =
        (scope.dataCentre == null || scope.dataCentre == dataCentre) &&
            (scope.service == null || scope.service == service) &&
            (scope.instance == null || scope.instance == instance) &&
            (scope.route == null || scope.route == route)
}

/** The weight by which overlapping exceptions are ordered: instance before route before service before data centre. */
public val ExceptionScope.specificity: Int
    get() =
        (if (instance != null) 8 else 0) +
            (if (route != null) 4 else 0) +
            (if (service != null) 2 else 0) +
            (if (dataCentre != null) 1 else 0)
