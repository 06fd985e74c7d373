package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a node does about a connection to another node. */
public sealed interface PathAction {
    /** Nothing: the connection carries bytes, or nothing is expected from it. */
    public data object None : PathAction

    /** Send a ping, which the reader of the other node answers at once whatever its calls do. */
    public data object Ping : PathAction

    /** Send no further calls, and treat what may be repeated as lost, so that it is tried elsewhere. The connection may recover. */
    public data object Suspect : PathAction

    /** Open another connection for new calls. Calls that run at most once go on waiting on this one, since the other node may only be paused. */
    public data object Replace : PathAction
}

/** The bounds of [PathLiveness]. */
public data class PathLivenessSettings(
    /** How long nothing arrives before a ping is sent. */
    public val silenceBeforePing: Duration = 200.milliseconds,
    /** How long a ping is unanswered before the connection is suspected; more than a node at its processor limit usually takes. */
    public val suspectAfter: Duration = 400.milliseconds,
    /** How long a ping is unanswered before the connection is replaced. */
    public val replaceAfter: Duration = 1_500.milliseconds,
    /** A check that is later than this was delayed by this process, and says nothing about the other node. */
    public val maximumLateness: Duration = 150.milliseconds,
)

/**
 * Detects that a connection to another node has gone silent, although calls wait on it.
 *
 * Addresses instances that lose power, links that are cut and connections that are dropped without a reset. Any byte shows that the path works, so
 * a slow backend server is not taken for a silent path. Without waiting calls nothing is sent. Not thread-safe.
 */
public class PathLiveness(
    private val settings: PathLivenessSettings = PathLivenessSettings(),
) {
    private var lastSignOfLife = Moment.DISTANT_PAST
    private var pingSentAt: Moment? = null
    private var nextCheckBy = Moment.FAR_FUTURE

    /** Whether a ping has been unanswered for so long that the connection should carry no new calls. */
    public var isSuspected: Boolean = false
        private set

    /** Records that bytes arrived. */
    public fun recordReceived(now: Moment) {
        lastSignOfLife = now
        pingSentAt = null
        isSuspected = false
    }

    /** Whether a ping is unanswered, so that the connection is checked even if no call waits any more. */
    public val isProbing: Boolean get() = pingSentAt != null

    /** Records that a large message is being sent: the other node takes bytes, and a ping would wait behind them. */
    public fun recordSending(now: Moment): Unit = recordReceived(now)

    /** Records that the first call is sent on a connection on which none waited: silence counts from here. */
    public fun recordFirstCall(now: Moment) {
        if (pingSentAt == null) lastSignOfLife = maxOf(lastSignOfLife, now)
        nextCheckBy = Moment.FAR_FUTURE
    }

    /** Returns what to do at [now]; the next check is planned in [interval]. Call it while calls wait on the connection. */
    public fun check(
        now: Moment,
        interval: Duration,
    ): PathAction {
        val lateness = now - nextCheckBy
        nextCheckBy = now + interval
        if (lateness > settings.maximumLateness) restart(lateness, now)
        val sentAt = pingSentAt
        if (sentAt == null) {
            if (now - lastSignOfLife < settings.silenceBeforePing) return PathAction.None
            pingSentAt = now
            return PathAction.Ping
        }
        val unanswered = now - sentAt
        return when {
            unanswered >= settings.replaceAfter -> PathAction.Replace
            unanswered >= settings.suspectAfter && !isSuspected -> PathAction.Suspect.also { isSuspected = true }
            else -> PathAction.None
        }
    }

    /** Leaves out the time in which this process did not run: answers that have arrived meanwhile are read only now. */
    private fun restart(
        lateness: Duration,
        now: Moment,
    ) {
        lastSignOfLife = minOf(lastSignOfLife + lateness, now)
        pingSentAt = pingSentAt?.let { minOf(it + lateness, now) }
    }
}
