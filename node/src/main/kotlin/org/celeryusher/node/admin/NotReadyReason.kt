package org.celeryusher.node.admin

import org.celeryusher.kernel.error.ErrorKind

/** A reason why a node is not ready for calls, with the [kind] of error that the page `/ready` returns for it. */
public enum class NotReadyReason(
    public val kind: ErrorKind,
) {
    /** The node is stopping. */
    STOPPING(ErrorKind.NODE_STOPPING),

    /** No configuration is in force yet. */
    NO_CONFIGURATION(ErrorKind.NO_CONFIGURATION),

    /** The configuration in force is older than that of others in the fleet, or likely to be. */
    CONFIGURATION_OLD(ErrorKind.CONFIGURATION_OLD),
}
