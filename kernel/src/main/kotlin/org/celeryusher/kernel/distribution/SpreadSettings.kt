package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Settings for the dissemination of configurations between nodes. */
public data class SpreadSettings(
    /** The number of nodes of the own data centre to which a node pushes a version that it has just put in force. */
    public val fanOut: Int = 4,
    /** The share of gossip exchanges that go to another data centre. */
    public val otherDataCentreShare: Double = 0.1,
    /** How long a node waits for the answer to a pull before it may ask another peer. */
    public val pullTimeout: Duration = 1.seconds,
    /** The number of earlier versions that a node keeps as bases of deltas. */
    public val deltaBases: Int = 4,
    /** The size of the largest delta that is included in a push, and that a node sends even when the token bucket is empty. */
    public val smallDeltaBytes: Int = 8_192,
    /** The maximum number of concurrent transfers from a node, at most one of them to the same peer. */
    public val maximumConcurrentTransfers: Int = 8,
    /** The time after which a transfer counts as ended even if its end was not reported. */
    public val transferTimeout: Duration = 5.seconds,
    /** The sustained rate at which a node may send transfers: the refill rate of its token bucket. */
    public val bytesPerSecond: Int = 20_000,
    /** The number of bytes that a node may send at once after an idle period: the capacity of its token bucket. */
    public val burstBytes: Int = 4_194_304,
)
