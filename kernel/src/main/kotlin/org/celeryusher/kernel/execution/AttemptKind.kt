package org.celeryusher.kernel.execution

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an attempt means for the retry budget of the service that it goes to. */
@Serializable
public enum class AttemptKind {
    /** The first attempt of a request that only a caller can have sent. It adds to the budget. */
    @SerialName("q")
    REQUEST,

    /** The first attempt of a call that a backend server may have made while it ran a request. */
    @SerialName("f")
    FIRST,

    /** An attempt of a call that may already have reached a backend server. It is charged. */
    @SerialName("r")
    REPEAT,
}
