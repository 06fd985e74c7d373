package org.celeryusher.node.admin

import org.celeryusher.kernel.error.ErrorKind

/** Why a node is not ready for calls, and the error with which it says so. */
public enum class NotReady(
    public val kind: ErrorKind,
) {
    /** The node is stopping. */
    STOPPING(ErrorKind.NODE_STOPPING),

    /** The node holds no accepted configuration yet. */
    NO_CONFIGURATION(ErrorKind.NO_CONFIGURATION),
}
