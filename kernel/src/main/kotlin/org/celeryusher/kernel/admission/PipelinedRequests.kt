package org.celeryusher.kernel.admission

/**
 * Bounds the pipelined requests that are in progress at a time, so that callers who send ahead do not take all slots of the servers.
 *
 * A request is pipelined if its caller did not wait for the previous response, or has sent more behind it. A caller who sends one request at
 * a time has the next one in progress only after it has read a response, while a connection with requests ahead always has one. Of many
 * such connections, at most [maximum] therefore compete with other callers at a time. The bound applies only while at least [threshold]
 * requests of all callers are in progress, since below that nobody has to wait for long. The slots are not bound to connections, so that
 * one connection gets its requests served in order, and a caller who leaves responses unread holds no slot while they are sent.
 */
internal class PipelinedRequests(
    private val maximum: Int,
    private val threshold: Int,
) {
    /** The number of pipelined requests in progress. */
    var inProgress: Int = 0
        private set

    /** The number of requests of all callers in progress, pipelined or not. */
    private var requests = 0

    /** Counts the request of [connection] and returns true, or returns false if it is pipelined and too many are in progress. */
    fun begin(
        connection: HeldConnection,
        isPipelined: Boolean,
    ): Boolean {
        if (isPipelined && inProgress >= maximum && requests >= threshold) return false
        if (!connection.isRequesting) requests++
        connection.isRequesting = true
        if (isPipelined && !connection.isPipelining) {
            inProgress++
            connection.isPipelining = true
        }
        return true
    }

    /** Records that no request is in progress on [connection]. */
    fun end(connection: HeldConnection) {
        if (connection.isRequesting) requests--
        connection.isRequesting = false
        if (!connection.isPipelining) return
        connection.isPipelining = false
        inProgress--
    }
}
