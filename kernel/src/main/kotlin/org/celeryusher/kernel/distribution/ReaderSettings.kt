package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the nodes read from the platform, each with readers and settings of its own. */
public enum class ReadSubject {
    CONFIGURATION,
    INSTANCES,
}

/** When nodes read the platform. The bounds on calls follow from these and hold without exchange of messages. */
public data class ReaderSettings(
    /** How long the platform lets a watch wait; zero for a read that is answered at once. */
    public val watchWait: Duration,
    /** The pause between the answer to one read and the next read of the same node. */
    public val pause: Duration,
    /** The age of the source's news from which on nodes other than the first reader read. */
    public val takeoverBase: Duration = 4.seconds,
    /** By how much the age must be higher for each further rank. */
    public val takeoverStep: Duration = 500.milliseconds,
    /** The time after a node's start over which first reads are spread, at random. */
    public val startSpread: Duration = 4.seconds,
    /** The first back-off after a failure; it doubles with each further one. */
    public val initialBackOff: Duration = 500.milliseconds,
    /** The longest back-off in a small fleet. */
    public val maximumBackOff: Duration = 4.seconds,
    /** How many calls a second a whole fleet that failed for long makes at most; the longest back-off grows with the fleet to keep it. */
    public val failingFleetCallsPerSecond: Int = 80,
    /**
     * How long after its start a node does not trust the size of its view, and takes the fleet for [assumedFleetSize] nodes; it also does
     * so as long as it knows no other node.
     */
    public val unsureOfFleetFor: Duration = 30.seconds,
    public val assumedFleetSize: Int = 1_600,
) {
    public companion object {
        /** The readers of the configuration document hold a watch. */
        public val CONFIGURATION: ReaderSettings = ReaderSettings(watchWait = 2.seconds, pause = 50.milliseconds)

        /** The readers of the instance list poll. */
        public val INSTANCES: ReaderSettings = ReaderSettings(watchWait = Duration.ZERO, pause = 1.seconds)
    }
}
