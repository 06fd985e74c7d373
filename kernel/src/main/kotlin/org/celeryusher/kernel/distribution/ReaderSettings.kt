package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A subject that nodes read from the platform. Each has its own readers and settings. */
public enum class ReadSubject {
    CONFIGURATION,
    INSTANCES,
}

/** The timing of platform reads. It bounds the rate of calls to the platform without coordination between nodes. */
public data class ReaderSettings(
    /** How long the platform may hold a long poll open; zero for a read that is answered immediately. */
    public val watchWait: Duration,
    /** The pause of a node between the answer to one read and its next read. */
    public val pause: Duration,
    /** The age of the latest platform answer above which nodes other than the first reader start to read. */
    public val takeoverBase: Duration = 4.seconds,
    /** The additional age for each further position in the reader order. */
    public val takeoverStep: Duration = 500.milliseconds,
    /** The time after startup within which a node makes its first read at a random moment. */
    public val startSpread: Duration = 4.seconds,
    /** The backoff after the first failure in a small fleet. It doubles with each further failure. */
    public val initialBackoff: Duration = 500.milliseconds,
    /** The maximum backoff in a small fleet. */
    public val maximumBackoff: Duration = 4.seconds,
    /** The maximum calls per second of the whole fleet in a long outage. The maximum backoff grows with the fleet size to respect it. */
    public val failingFleetCallsPerSecond: Int = 80,
    /**
     * The time after startup during which a node assumes a fleet of at least [assumedFleetSize] nodes, because its membership view may
     * still be incomplete. It also does so as long as it knows no other node.
     */
    public val fleetDiscoveryTime: Duration = 30.seconds,
    public val assumedFleetSize: Int = 1_600,
) {
    public companion object {
        /** The readers of the configuration document use long polls. */
        public val CONFIGURATION: ReaderSettings = ReaderSettings(watchWait = 2.seconds, pause = 50.milliseconds)

        /** The readers of the instance list poll at an interval. */
        public val INSTANCES: ReaderSettings = ReaderSettings(watchWait = Duration.ZERO, pause = 1.seconds)
    }
}
