package org.celeryusher.node.admin

import kotlinx.serialization.json.JsonElement
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.time.Moment
import org.celeryusher.node.control.ControlStatus

/** A part of a node's status that another package describes in its own shape. */
public fun interface StatusSection {
    /** Returns what the section holds [now]. */
    public fun describe(now: Moment): JsonElement
}

/** Where the status of a node gets those parts that it does not know itself; make one with [statusProviders]. */
public class StatusProviders internal constructor(
    internal val control: ((Moment) -> ControlStatus)?,
    internal val guardLoad: ((Moment) -> GuardLoad)?,
    internal val stopping: () -> Boolean,
    internal val sections: Map<String, StatusSection>,
)

/** Names the providers of a [StatusProviders]; a part without a provider is left out of the status. */
public class StatusProvidersBuilder internal constructor() {
    private var control: ((Moment) -> ControlStatus)? = null
    private var guardLoad: ((Moment) -> GuardLoad)? = null
    private var stopping: () -> Boolean = { false }
    private val sections = mutableMapOf<String, StatusSection>()

    /** What the control work knows: the version in force, its source, refused versions, members. */
    public fun control(describe: (Moment) -> ControlStatus) {
        control = describe
    }

    /** The load of the guard. */
    public fun guardLoad(read: (Moment) -> GuardLoad) {
        guardLoad = read
    }

    /** Whether the node is stopping. */
    public fun stopping(read: () -> Boolean) {
        stopping = read
    }

    /** A further section under [name]. */
    public fun section(
        name: String,
        section: StatusSection,
    ) {
        require(sections.put(name, section) == null) { "the status section \"$name\" is registered twice" }
    }

    internal fun build(): StatusProviders = StatusProviders(control, guardLoad, stopping, sections)
}

/** Returns the providers that [build] names. */
public fun statusProviders(build: StatusProvidersBuilder.() -> Unit): StatusProviders = StatusProvidersBuilder().apply(build).build()
