package org.celeryusher.kernel.admission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Where a call comes from, which decides its place in the queue of a guard. */
@Serializable
public enum class CallOrigin {
    /** A new request of a caller, or a call whose origin is unknown. */
    @SerialName("n")
    NEW,

    /** A request that was refused before and returns after its `Retry-After`. It goes before new requests of its rank. */
    @SerialName("b")
    RETURNED,

    /** A call that a backend server makes for a request that it is running. It goes before new requests of all ranks. */
    @SerialName("r")
    RUN,
}
