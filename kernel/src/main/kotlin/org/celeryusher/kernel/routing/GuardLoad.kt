package org.celeryusher.kernel.routing

import kotlinx.serialization.Serializable

/** The exact load of one backend server, as its guard counts it and adds it to each answer. */
@Serializable
public data class GuardLoad(
    /** How many calls the server runs at a time, as the guard's concurrency limit has it now. */
    public val slots: Int,
    public val running: Int,
    public val queued: Int,
) {
    /** All calls that the server runs or that wait for it. */
    public val inSystem: Int get() = running + queued
}
