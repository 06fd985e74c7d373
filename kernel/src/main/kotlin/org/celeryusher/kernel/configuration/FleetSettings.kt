package org.celeryusher.kernel.configuration

import kotlinx.serialization.Serializable

/** The settings in the defaults of the configuration document, which apply to the whole fleet. Shares are between 0 and 1. */
@Serializable
public data class FleetSettings(
    /** The deadline of a call, counted from its arrival at the first node. */
    public val deadlineMilliseconds: Long = 2_000,
    /** The maximum number of attempts per call, including the first try. */
    public val maximumAttempts: Int = 3,
    /** The retry budget of a service as a share of the requests that callers send to it. */
    public val retryBudgetShare: Double = 0.1,
    /** The retries per service and window beyond [retryBudgetShare], for all nodes together. Each guard of the service has a part of them. */
    public val retryReserve: Int = 60,
    /** The maximum number of queued calls per slot of a backend server, over all ranks. */
    public val queuedCallsPerSlot: Int = 8,
    /** How long a leaving backend server may continue to run the calls in flight. */
    public val drainLimitMilliseconds: Long = 10_000,
    /** How long a backend server receives a reduced share of the calls after its start. */
    public val slowStartMilliseconds: Long = 5_000,
    /** The maximum share of a service's backend servers that may be ejected as outliers at the same time. */
    public val ejectionCapShare: Double = 0.3,
    /** How long a request that crashed backend servers is refused. */
    public val quarantineMilliseconds: Long = 600_000,
    /** The target latency of an answer. Calls that can still meet it take precedence over calls that cannot. */
    public val targetLatencyMilliseconds: Long = 2_000,
    /** The maximum share of a route's first attempts for which a node sends a second copy; 0 for none. Only idempotent routes are hedged. */
    public val hedgeShare: Double = 0.0,
    /**
     * The largest share of the new requests of a route that entry nodes refuse because services that their runs call are overloaded. 0
     * switches the admission of whole runs off, and with it the precedence of calls of running requests at guards.
     */
    public val runRefusalShare: Double = 0.0,
)

/** Overrides for some settings. A null field leaves the setting unchanged. */
@Serializable
public data class SettingsChange(
    public val deadlineMilliseconds: Long? = null,
    public val maximumAttempts: Int? = null,
    public val retryBudgetShare: Double? = null,
    public val retryReserve: Int? = null,
    public val queuedCallsPerSlot: Int? = null,
    public val drainLimitMilliseconds: Long? = null,
    public val slowStartMilliseconds: Long? = null,
    public val ejectionCapShare: Double? = null,
    public val quarantineMilliseconds: Long? = null,
    public val targetLatencyMilliseconds: Long? = null,
    public val hedgeShare: Double? = null,
    public val runRefusalShare: Double? = null,
) {
    /** Returns [settings] with the overrides of this change. */
    public fun applyTo(settings: FleetSettings): FleetSettings =
        FleetSettings(
            deadlineMilliseconds = deadlineMilliseconds ?: settings.deadlineMilliseconds,
            maximumAttempts = maximumAttempts ?: settings.maximumAttempts,
            retryBudgetShare = retryBudgetShare ?: settings.retryBudgetShare,
            retryReserve = retryReserve ?: settings.retryReserve,
            queuedCallsPerSlot = queuedCallsPerSlot ?: settings.queuedCallsPerSlot,
            drainLimitMilliseconds = drainLimitMilliseconds ?: settings.drainLimitMilliseconds,
            slowStartMilliseconds = slowStartMilliseconds ?: settings.slowStartMilliseconds,
            ejectionCapShare = ejectionCapShare ?: settings.ejectionCapShare,
            quarantineMilliseconds = quarantineMilliseconds ?: settings.quarantineMilliseconds,
            targetLatencyMilliseconds = targetLatencyMilliseconds ?: settings.targetLatencyMilliseconds,
            hedgeShare = hedgeShare ?: settings.hedgeShare,
            runRefusalShare = runRefusalShare ?: settings.runRefusalShare,
        )
}
