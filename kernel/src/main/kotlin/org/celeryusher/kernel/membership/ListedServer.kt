package org.celeryusher.kernel.membership

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import kotlin.time.Duration

/** One backend server as it describes itself in the platform's list. */
public data class ListedServer(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val address: Address,
    /** How many calls it runs at a time. */
    public val slots: Int,
    public val state: ListedServerState,
    /** How much longer it is slow after its start, when it wrote this. */
    public val coldRemaining: Duration,
    /** Counts what the server wrote since its start. */
    public val heartbeat: Long,
    /** When the server started, in Unix milliseconds by its own clock; null when it does not say. */
    public val startedAtMilliseconds: Long?,
)

/** What a server says of its own future. */
public enum class ListedServerState {
    /** It takes calls. */
    READY,

    /** It serves the calls that it has and ends soon. */
    DRAINING,
}

/** One change of the platform's list, with the revision of the list that it made. */
public sealed interface ServerListChange {
    public val instance: InstanceName
    public val revision: Long

    /** [server] was written. */
    public data class Written(
        public val server: ListedServer,
        override val revision: Long,
        /** The revision at which the entry was created; an entry that was removed and written again has a later one. */
        public val createdRevision: Long,
    ) : ServerListChange {
        override val instance: InstanceName get() = server.instance
    }

    /** The entry was removed, or what stands there now cannot be read as a server. */
    public data class Removed(
        override val instance: InstanceName,
        override val revision: Long,
    ) : ServerListChange
}
