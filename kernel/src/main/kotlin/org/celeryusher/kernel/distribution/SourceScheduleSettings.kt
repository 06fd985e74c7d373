package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The timing and the number of readers of a [SourceSchedule]. */
public data class SourceScheduleSettings(
    /**
     * The minimum time between two reads of the platform.
     *
     * Heartbeats change the list many times a second. A change reaches a reader within this time and any other node within [queryInterval]
     * more, well within half of the two seconds in which all must know that a server leaves.
     */
    public val readInterval: Duration = 400.milliseconds,
    /** How much longer than [readInterval] a read of the list waits for the one of the configuration beside it, which takes about as long. */
    public val readOverlap: Duration = 50.milliseconds,
    /** The minimum time between an answered query and the next one, so that changes in quick succession arrive together. */
    public val queryInterval: Duration = 200.milliseconds,
    /** The number of nodes that read the platform continuously. */
    public val readers: Int = 2,
    /** The number of nodes, in reader order, that others may ask. This bounds the number of nodes that read a platform in trouble. */
    public val candidates: Int = 7,
    /** How long the document in force may take on the link of a node that others ask; with a longer one the node declines. */
    public val longestDocumentTime: Duration = 100.milliseconds,
    /** The number of nodes, by rendezvous hashing, among which others look for one that does not decline. */
    public val considered: Int = 64,
    /** The number of other instances whose limits a node that declines passes on with an answer, which has to fit through its link quickly. */
    public val statedLimits: Int = 8,
    /** How long a peer that did not answer is not asked again. */
    public val peerPause: Duration = 2.seconds,
    /** The minimum time between queries of candidates other than the newest one while the data of all is old. */
    public val oldDataPause: Duration = 1_700.milliseconds,
    /** The same at a candidate, since all nodes wait for one of these to find another source, and their number is bounded. */
    public val candidatePause: Duration = 1_100.milliseconds,
    /** The age from which on a peer's data is not used. */
    public val maximumDataAge: Duration = 1_200.milliseconds,
    /** How long a node keeps reading the platform after another node has asked it. */
    public val readingAfterQuery: Duration = 3.seconds,
    /** How much longer than a reader another node waits after a failed read of the platform, since it hears of the end of an outage. */
    public val pauseFactor: Int = 3,
    /** The shortest pause of such a node, which bounds the calls while backoff has just begun. */
    public val shortestPause: Duration = 800.milliseconds,
    /** How long a peer holds a query while nothing changes. A peer that fails silently is noticed after this time and [queryMargin]. */
    public val queryWait: Duration = 600.milliseconds,
    /** The shortest time for which a query is held at a peer with old data; shorter ones would add queries and bring no news. */
    public val shortestHold: Duration = 300.milliseconds,
    /** How much longer than its wait a query may take before the peer is considered failed. */
    public val queryMargin: Duration = 250.milliseconds,
    /** How long a peer may take to begin sending a whole document, which waits for its turn on a slow link. */
    public val documentTimeout: Duration = 1.seconds,
    /** The shortest time between two attempts while neither the platform nor a peer answers. */
    public val shortestWait: Duration = 50.milliseconds,
    /** The number of peers in succession that do not answer before a node takes itself for cut off from them, and reads the platform. */
    public val silentPeers: Int = 4,
    /** The age of the data of this node from which on it tries the platform although it is no candidate: that may turn away all of these. */
    public val probeAge: Duration = 1_100.milliseconds,
    /** The number of such attempts a second in the whole fleet; each makes two calls. */
    public val probesPerSecond: Double = 7.0,
)
