package org.celeryusher.kernel.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The intervals and bounds of [Membership]; the same on every node of a fleet. */
public data class MembershipSettings(
    /** How often the runtime sends [MembershipEvent.Ticked]. */
    public val tickInterval: Duration = 200.milliseconds,
    /** The time between two direct probes of a healthy node. */
    public val probeInterval: Duration = 400.milliseconds,
    /** How long a direct probe may take before others are asked to probe. */
    public val probeTimeout: Duration = 400.milliseconds,
    /** How long a probe on another node's behalf may take. */
    public val relayTimeout: Duration = 300.milliseconds,
    /** How long to wait for the nodes that probe on this node's behalf. */
    public val relayWait: Duration = 500.milliseconds,
    /** How many nodes are asked to probe a member that did not answer. */
    public val relayCount: Int = 3,
    /** How many probes on behalf of others may run at a time. */
    public val relayLimit: Int = 16,
    /** The time from suspicion to death once [confirmationsForMinimum] other nodes suspect the member too. */
    public val suspicionMinimum: Duration = 2.seconds,
    /** The time from suspicion to death when no other node suspects the member. */
    public val suspicionMaximum: Duration = 5.seconds,
    public val confirmationsForMinimum: Int = 3,
    /** How much later than expected a tick must come to count as a pause of this process. */
    public val pauseThreshold: Duration = 1.seconds,
    /** The time between two probes of dead members. */
    public val deadProbeInterval: Duration = 5.seconds,
    /** How long a dead member that the platform does not list is remembered. */
    public val tombstoneLifetime: Duration = 2.hours,
    /** The window within which evictions are counted against [serviceEvictionShare] and [fleetEvictionShare]. */
    public val evictionWindow: Duration = 60.seconds,
    /** The share of a service that may be suspected or evicted within the window before evictions are held. */
    public val serviceEvictionShare: Double = 0.34,
    /** The share of the fleet that may be suspected or evicted within the window before evictions are held. */
    public val fleetEvictionShare: Double = 0.25,
    /** The least time between two comparisons of the whole member list that this node starts. */
    public val syncInterval: Duration = 3.seconds,
    /** How many pages one such comparison takes; the next one continues where it stopped. */
    public val pagesPerSync: Int = 8,
    /** How many members one page lists. */
    public val pageSize: Int = 32,
    /** How many peers must have given their member list before new work is placed after a start or a pause. */
    public val refreshPeers: Int = 2,
    /** How long new work waits for them at most. */
    public val refreshWait: Duration = 2.seconds,
    /** The room for changes in one message besides a page, in bytes of JSON. */
    public val newsBytes: Int = 600,
    /** A change is sent this many times the rounded-up decimal logarithm of the fleet's size. */
    public val retransmitFactor: Int = 4,
)
