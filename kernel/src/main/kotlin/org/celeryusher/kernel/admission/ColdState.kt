package org.celeryusher.kernel.admission

/** How far a backend server has warmed up, as its guard knows it. */
public enum class ColdState {
    /** The service of the server states no limit for cold servers. */
    UNLIMITED,

    /** The guard does not know whether the server is cold, and treats it as cold. */
    UNKNOWN,

    /** The server is cold. */
    COLD,

    /** The server has just warmed up: the calls that it is sent rise. */
    WARMING,

    /** The server takes its full load. */
    WARM,
}

/** What a guard knows about how cold its server is, for operators. */
public data class ColdStatus(
    public val state: ColdState,
    /** The calls a second that may start now, or null without a limit. */
    public val callsPerSecond: Double?,
    /** How often the server has become cold, or its state unknown, while it was warm. */
    public val turnedCold: Long,
)
