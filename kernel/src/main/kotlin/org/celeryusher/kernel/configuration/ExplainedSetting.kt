package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.RouteName

/** One setting in force at a place of the fleet: its [value] as JSON writes it, and where it comes from. */
@Serializable
public data class ExplainedSetting(
    public val name: String,
    public val value: String,
    public val origin: SettingOrigin,
)

/** Which part of the configuration document gave a setting its value. */
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

    /** An exception, made for the written [reason]. */
    @Serializable
    public data class Exception(
        public val name: String,
        public val reason: String,
    ) : SettingOrigin
}
