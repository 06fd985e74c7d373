package org.celeryusher.kernel.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The intervals and limits of [Membership]. All nodes of a fleet use the same values. */
public data class MembershipSettings(
    /** How often the runtime sends [MembershipEvent.Ticked]. */
    public val tickInterval: Duration = 200.milliseconds,
    /** The time between two direct probes of a healthy node. */
    public val probeInterval: Duration = 400.milliseconds,
    /** The timeout of a direct probe, after which other nodes are asked to probe the member. */
    public val probeTimeout: Duration = 400.milliseconds,
    /** The timeout of a probe that is made for another node. */
    public val relayTimeout: Duration = 300.milliseconds,
    /** How long to wait for the results of the nodes that probe for this node. */
    public val relayWait: Duration = 500.milliseconds,
    /** How many nodes are asked to probe a member that did not answer a direct probe. */
    public val relayCount: Int = 3,
    /** The maximum number of concurrent probes for other nodes. */
    public val relayLimit: Int = 16,
    /** The suspicion timeout once [confirmationsForMinimum] other nodes have confirmed the suspicion. */
    public val suspicionMinimum: Duration = 2.seconds,
    /** The suspicion timeout while no other node has confirmed the suspicion. */
    public val suspicionMaximum: Duration = 5.seconds,
    /** How many confirmations by other nodes shorten the suspicion timeout to [suspicionMinimum]. */
    public val confirmationsForMinimum: Int = 3,
    /** How late a tick must be to count as a pause of this process. */
    public val pauseThreshold: Duration = 1.seconds,
    /** The time between two probes of dead members, which may have come back. */
    public val deadProbeInterval: Duration = 5.seconds,
    /** How long the tombstone of a dead member that the platform does not list is kept. */
    public val tombstoneLifetime: Duration = 2.hours,
    /** The time window in which evictions count towards [serviceEvictionShare] and [fleetEvictionShare]. */
    public val evictionWindow: Duration = 60.seconds,
    /** The share of a service's members that may be suspected or evicted within the window before further evictions are held. */
    public val serviceEvictionShare: Double = 0.34,
    /** The share of the fleet's members that may be suspected or evicted within the window before further evictions are held. */
    public val fleetEvictionShare: Double = 0.25,
    /** The minimum time between two anti-entropy comparisons of the member list that this node starts. */
    public val syncInterval: Duration = 3.seconds,
    /** The maximum number of pages in one comparison; the next comparison continues where it stopped. */
    public val pagesPerSync: Int = 8,
    /** The maximum number of members on one page. */
    public val pageSize: Int = 32,
    /** How many peers must have sent their member list before new work is placed after a start or a pause. */
    public val refreshPeers: Int = 2,
    /** How long new work waits for these peers at most. */
    public val refreshWait: Duration = 2.seconds,
    /** The maximum size of the updates in one message, in bytes of JSON; a page is not counted. */
    public val maximumUpdateBytes: Int = 600,
    /** Each update is sent this many times the rounded-up decimal logarithm of the fleet's size. */
    public val retransmitFactor: Int = 4,
)
