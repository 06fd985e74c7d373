package org.celeryusher.kernel.admission

/** Counts the bytes that the connections of a [CallerBudget] hold, by the portion of the memory that they belong to. */
internal class CallerPortions {
    /** The bytes of connections without an admitted request. */
    var unadmitted = 0L
        private set

    /** The bytes of connections with an admitted request or with valid frames. */
    var admitted = 0L
        private set

    /** The bytes of connections to the admin address. */
    var admin = 0L
        private set

    /** The part of [unadmitted] that connections hold which are already being closed. */
    var unadmittedClosing = 0L
        private set

    /** The part of [admin] that connections hold which are already being closed. */
    var adminClosing = 0L
        private set

    /** Adds [bytes] to those that [connection] holds. */
    fun add(
        connection: HeldConnection,
        bytes: Long,
    ) {
        count(connection, bytes)
        connection.heldBytes += bytes
    }

    /** Applies [alter] to [connection] and moves its bytes to the portion that it belongs to afterwards. */
    inline fun move(
        connection: HeldConnection,
        alter: () -> Unit,
    ) {
        count(connection, -connection.heldBytes)
        alter()
        count(connection, connection.heldBytes)
    }

    fun count(
        connection: HeldConnection,
        bytes: Long,
    ) {
        when {
            connection.port == CallerPort.ADMIN -> {
                admin += bytes
                if (connection.isClosing) adminClosing += bytes
            }

            connection.isExempt -> {
                admitted += bytes
            }

            else -> {
                unadmitted += bytes
                if (connection.isClosing) unadmittedClosing += bytes
            }
        }
    }
}
