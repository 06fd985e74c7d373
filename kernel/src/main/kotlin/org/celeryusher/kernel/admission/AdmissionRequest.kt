package org.celeryusher.kernel.admission

import org.celeryusher.kernel.time.Moment

/**
 * A request to run one attempt of a call on a backend server.
 *
 * [rankPosition] is 0 for the most urgent rank; a position beyond the policy's last rank counts as the last. An [isExclusive] call
 * starts only while no other call is running, and no other call starts until it has finished.
 */
public data class AdmissionRequest<out Key : Any>(
    public val key: Key,
    public val rankPosition: Int,
    public val deadline: Moment,
    public val isExclusive: Boolean = false,
    /**
     * The end of the target latency: the time by which the call should end.
     *
     * A call that cannot meet its target is late. It starts only while its own rank has no queued call that can still meet its target. If
     * its rank is not owed service, no other rank may have such a call either.
     */
    public val target: Moment = deadline,
    /** The size of the body, which the backend server holds while the call runs. */
    public val bytes: Long = 0,
    public val origin: CallOrigin = CallOrigin.NEW,
    /** Whether the route of the call allows the region of the backend server. */
    public val isInRegion: Boolean = true,
)
