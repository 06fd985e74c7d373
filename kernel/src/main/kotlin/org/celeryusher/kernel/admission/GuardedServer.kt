package org.celeryusher.kernel.admission

import org.celeryusher.kernel.execution.CrashId
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName

/** What a list of servers changes about the backend server beside a node. */
public enum class ServerChange {
    /** The same process of the same server, or still no server. */
    NONE,

    /** The first server that is listed beside the node. It may have run for long before the node started. */
    FOUND,

    /** Another server, or another process of the same one, has taken the place of the previous one. */
    STARTED,

    /** The server is no longer there. */
    REMOVED,
}

/**
 * The backend server beside a node, as its guard knows it: which server it is, which process of it runs, and what that process has stated.
 *
 * Not thread-safe.
 */
public class GuardedServer(
    instance: InstanceName,
) {
    private var process: Incarnation? = null
    private var isListed = false

    /** The number of crashes of the current process. */
    private var crashes = 0

    /** The current server, or null if there is none. */
    public var current: InstanceName? = instance
        private set

    /** What the current process of the server last stated. A server that has stated that it is leaving does not take that back. */
    public var notice: ServerNotice = ServerNotice()
        private set

    /** The current server if it has stated that it is leaving, or null. */
    public val leaving: InstanceName? get() = current.takeIf { notice.isLeaving }

    /** The `Incarnation.start` of the process of [leaving], or null if it is not known. */
    public val leavingProcess: Long? get() = process?.start?.takeIf { notice.isLeaving }

    /** Records that [server] is beside the node and that [listed] is the process of it that runs, if that is known. */
    public fun change(
        server: InstanceName?,
        listed: Incarnation?,
    ): ServerChange {
        val before = process
        val isSameProcess = listed == null || before == null || before.isSameProcessAs(listed)
        if (listed != null) process = listed
        val wasListed = isListed
        isListed = wasListed || server != null
        if (server == current && isSameProcess) return ServerChange.NONE
        current = server
        notice = ServerNotice()
        crashes = 0
        return when {
            !wasListed -> if (server == null) ServerChange.NONE else ServerChange.FOUND
            server == null -> ServerChange.REMOVED
            else -> ServerChange.STARTED
        }
    }

    /**
     * Returns the identity of a crash of [server], or of the current one if it is null.
     *
     * [guardStart] names the process of the guard, which identifies the crashes of a server whose processes are not known.
     */
    public fun nextCrash(
        server: InstanceName?,
        guardStart: Long,
    ): CrashId {
        val crashed = checkNotNull(server ?: current) { "a call ran without a backend server" }
        val isListed = crashed == current
        return CrashId(crashed, process?.start?.takeIf { isListed } ?: guardStart, crashes++)
    }

    /** Returns whether the current server is the one that a call is meant for; null stands for any. */
    public fun isMeant(server: InstanceName?): Boolean = current != null && (server == null || server == current)

    /** Records what the server of a call stated, unless another one has taken its place. Returns whether it counts. */
    public fun state(
        server: InstanceName?,
        stated: ServerNotice,
    ): Boolean {
        if (!isMeant(server)) return false
        // What changes with each answer is not kept, so that a change of the notice is worth a line in the log.
        notice = stated.copy(isLeaving = stated.isLeaving || notice.isLeaving, load = null, coldRemaining = null)
        return true
    }
}
