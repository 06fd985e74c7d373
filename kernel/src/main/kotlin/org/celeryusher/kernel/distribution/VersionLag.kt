package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration

/** How far a node is behind the newest version of the configuration that it has heard of. Not thread-safe. */
public class VersionLag {
    /** The newest version heard of, or null before the first. */
    public var newestHeard: Long? = null
        private set
    private var inForce: Long? = null

    /** Since when a newer version has been known that is not in force, or null if none is known. */
    public var behindSince: Moment? = null
        private set

    /** Records at [now] that [version] exists. */
    public fun heard(
        version: Long,
        now: Moment,
    ) {
        newestHeard = maxOf(newestHeard ?: version, version)
        if (behindSince == null && version > (inForce ?: 0)) behindSince = now
    }

    /** Records at [now] that [version] is in force. A node that hears of versions faster than it gets them stays behind. */
    public fun putInForce(
        version: Long,
        now: Moment,
    ) {
        inForce = version
        heard(version, now)
        if (version >= (newestHeard ?: 0)) behindSince = null
    }

    /** Returns how long the node has been behind at [now], zero if it is not. */
    public fun durationAt(now: Moment): Duration = behindSince?.let { now - it } ?: Duration.ZERO
}
