package org.celeryusher.kernel.admission

/** What a guard has learned from what its server states about its load, for operators. */
public data class PaceStatus(
    /** The slowdown that the server stated recently, or null if it stated none. */
    public val slowdown: Double?,
    /** The number of calls that may run at a time. */
    public val limit: Int,
    /** The number of calls that might run at a time by what the server declares. */
    public val declared: Int,
    /** The number of calls that the server refused although its guard let them through. */
    public val refusals: Long,
    /** The bytes of the bodies of the calls that run on the server. */
    public val bytes: Long,
)
