package org.celeryusher.node.admin

import kotlinx.serialization.json.JsonElement
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.distribution.ConfigurationUse
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.ControlStatus

/** A part of a node's status whose JSON structure another package defines. */
public fun interface StatusSection {
    /** Returns the content of the section at the time [now]. */
    public fun describe(now: Moment): JsonElement
}

/** The sources of those parts of a node's status that other components own; created by [statusProviders]. */
public class StatusProviders internal constructor(
    internal val control: ((Moment) -> ControlStatus)?,
    internal val guardLoad: ((Moment) -> GuardLoad)?,
    internal val stopping: () -> Boolean,
    internal val configurationUse: (Moment) -> ConfigurationUse,
    internal val sections: Map<String, StatusSection>,
)

/** Builds a [StatusProviders]. The status leaves out each part that has no provider. */
public class StatusProvidersBuilder internal constructor() {
    private var control: ((Moment) -> ControlStatus)? = null
    private var guardLoad: ((Moment) -> GuardLoad)? = null
    private var stopping: () -> Boolean = { false }
    private var configurationUse: (Moment) -> ConfigurationUse = { ConfigurationUse.Full }
    private val sections = mutableMapOf<String, StatusSection>()

    /** Provides the state of the control plane: the version in force, its source, refused versions and members. */
    public fun control(describe: (Moment) -> ControlStatus) {
        control = describe
    }

    /** Provides the load of the guard, the admission control in front of the backend server. */
    public fun guardLoad(read: (Moment) -> GuardLoad) {
        guardLoad = read
    }

    /** Provides whether the node is stopping. Without this provider the status reports that it is not. */
    public fun stopping(read: () -> Boolean) {
        stopping = read
    }

    /** Provides what the node may decide by its configuration. Without this provider it may decide everything. */
    public fun configurationUse(read: (Moment) -> ConfigurationUse) {
        configurationUse = read
    }

    /** Adds [section] to the status under [name], which must be unique. */
    public fun section(
        name: String,
        section: StatusSection,
    ) {
        require(sections.put(name, section) == null) { "the status section \"$name\" is registered twice" }
    }

    internal fun build(): StatusProviders = StatusProviders(control, guardLoad, stopping, configurationUse, sections)
}

/** Returns the providers that [build] sets. */
public fun statusProviders(build: StatusProvidersBuilder.() -> Unit): StatusProviders = StatusProvidersBuilder().apply(build).build()
