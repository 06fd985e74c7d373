package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How a node passes configurations on. */
public data class SpreadSettings(
    /** To how many nodes of its own data centre a node pushes a version that it has just put in force. */
    public val fanOut: Int = 4,
    /** The share of gossip exchanges that go to another data centre. */
    public val otherDataCentreShare: Double = 0.1,
    /** How long a node waits for the answer to a pull before it asks another peer. */
    public val pullTimeout: Duration = 1.seconds,
    /** How many versions a node keeps to compute deltas from. */
    public val deltaBases: Int = 4,
    /** The largest delta that goes along with a push, and that is sent whatever the budget. */
    public val smallDeltaBytes: Int = 8_192,
    /** How many transfers a node sends at a time; to one peer it sends one. */
    public val transfersAtOnce: Int = 8,
    /** When a transfer that was not reported as ended counts as ended. */
    public val transferTimeout: Duration = 5.seconds,
    /** What a node may send in transfers in the long run. */
    public val bytesPerSecond: Int = 20_000,
    /** What a node may send at once after a quiet time. */
    public val burstBytes: Int = 4_194_304,
)
