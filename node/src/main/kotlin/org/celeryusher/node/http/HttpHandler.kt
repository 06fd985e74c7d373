package org.celeryusher.node.http

import org.celeryusher.kernel.error.ErrorKind

/** Why a request could not be read. */
internal enum class RequestFault {
    MALFORMED,
    HEAD_TOO_LARGE,
    BODY_TOO_LARGE,
    ENDED_EARLY,
    TIMED_OUT,
    TOO_LITTLE_MEMORY,
    TOO_MANY_PIPELINED,
}

/** The error to answer. None of these requests was passed on. */
internal val RequestFault.errorKind: ErrorKind
    get() =
        when (this) {
            RequestFault.MALFORMED, RequestFault.ENDED_EARLY -> ErrorKind.BAD_REQUEST
            RequestFault.HEAD_TOO_LARGE, RequestFault.BODY_TOO_LARGE -> ErrorKind.REQUEST_TOO_LARGE
            RequestFault.TIMED_OUT -> ErrorKind.REQUEST_TIMEOUT
            RequestFault.TOO_LITTLE_MEMORY, RequestFault.TOO_MANY_PIPELINED -> ErrorKind.OVERLOADED
        }

/** Handles the requests of an [HttpListener]. */
internal interface HttpHandler {
    /** Returns the response to [request]. Cancelled when the client disconnects first. */
    suspend fun answer(request: HttpRequest): HttpResponse

    /** Records that [request] is dropped, because its client had closed the connection before it could be handled. */
    fun recordDisconnected(request: HttpRequest): Unit = Unit

    /**
     * Returns what to answer in place of a response that there is too little memory for, or null to close the connection without an answer.
     *
     * An answer here must be true although the request was handled.
     */
    fun respondWithoutMemory(): HttpResponse? = null

    /** Returns the response to a request that could not be read because of [fault]. */
    fun respondToFault(
        fault: RequestFault,
        detail: String,
    ): HttpResponse
}
