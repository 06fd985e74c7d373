package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.RouteName

/** A setting that applies at a place in the fleet, with its [value] in JSON notation and its [origin]. */
@Serializable
public data class ExplainedSetting(
    public val name: String,
    public val value: String,
    public val origin: SettingOrigin,
)

/** The part of the configuration document that defines the value of a setting. */
@Serializable
public sealed interface SettingOrigin {
    /** The defaults of the fleet. */
    @Serializable
    public data object Default : SettingOrigin

    /** The settings of the route itself. */
    @Serializable
    public data class Route(
        public val name: RouteName,
    ) : SettingOrigin

    /** An exception, with the [reason] that the operators give for it. */
    @Serializable
    public data class Exception(
        public val name: String,
        public val reason: String,
    ) : SettingOrigin
}
