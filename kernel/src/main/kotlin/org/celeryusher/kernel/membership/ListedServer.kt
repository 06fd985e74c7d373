package org.celeryusher.kernel.membership

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.identity.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** One backend server as it describes itself in the platform's list. */
@Serializable
public data class ListedServer(
    public val instance: InstanceName,
    public val service: ServiceName,
    public val dataCentre: DataCentreName,
    public val address: Address,
    /** The maximum number of calls that the server runs concurrently. */
    public val slots: Int,
    public val state: ListedServerState,
    /** The rest of the slow start when the server wrote the entry. */
    public val slowStartRemaining: Duration,
    /** A sequence number that rises with each write of the entry since the start of the server. */
    public val sequenceNumber: Long,
    /** When the server started, in Unix milliseconds by its own clock; null when the entry does not state it. */
    public val startedAtMilliseconds: Long?,
) {
    /** What makes it impossible to use this entry, or null. Entries come from other writers as well. */
    public val fault: String?
        get() =
            when {
                instance.value.isBlank() || service.value.isBlank() -> "the server or its service has no name"
                !address.isUsable -> "\"$address\" is not an IP address and a port from 1 to 65535"
                slots !in 1..MAXIMUM_SLOTS -> "$slots slots are not between 1 and $MAXIMUM_SLOTS"
                slowStartRemaining !in Duration.ZERO..MAXIMUM_SLOW_START -> "a slow start of $slowStartRemaining is out of range"
                else -> null
            }

    private companion object {
        const val MAXIMUM_SLOTS = 10_000
        val MAXIMUM_SLOW_START = 24.hours
    }
}

/** The state of a server as it reports it in its entry. */
@Serializable
public enum class ListedServerState {
    /** The server accepts calls. */
    READY,

    /** The server completes its running calls and then stops. */
    DRAINING,
}

/** One change of the platform's list, with the position in the store's history that resulted from it. */
@Serializable
public sealed interface ServerListChange {
    public val instance: InstanceName
    public val revision: Long

    /** The era of [revision]; 0 from a node of an earlier version, which states none. */
    public val era: Long

    /** The position of the change. */
    public val position: StorePosition get() = StorePosition(era, revision)

    /** The entry of [server] was written. */
    @Serializable
    public data class Written(
        public val server: ListedServer,
        override val revision: Long,
        /** The revision at which the entry was created; it rises when an entry is removed and written again. */
        public val createdRevision: Long,
        override val era: Long = 0,
    ) : ServerListChange {
        override val instance: InstanceName get() = server.instance

        /** The position at which the entry was created. */
        public val created: StorePosition get() = StorePosition(era, createdRevision)
    }

    /** The entry was removed, or its present value cannot be decoded. */
    @Serializable
    public data class Removed(
        override val instance: InstanceName,
        override val revision: Long,
        override val era: Long = 0,
        /** The sequence number of the last known entry, which a node has that reads the platform; null if the sender does not know it. */
        public val lastSequenceNumber: Long? = null,
    ) : ServerListChange
}
