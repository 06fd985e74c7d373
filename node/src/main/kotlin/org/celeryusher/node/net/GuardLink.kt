package org.celeryusher.node.net

import org.celeryusher.kernel.admission.LinkBacklog

/** The link of an instance as its guard, the admission control in front of the backend server, sees it. */
internal interface GuardLink {
    /** What waits to be sent to other instances, or null if the link is not limited. */
    val backlog: LinkBacklog?

    /** Records that the guard refused a call because the link could not carry its answer in time. */
    fun recordRefusal()

    /** A link that is not limited. */
    object Unlimited : GuardLink {
        override val backlog: LinkBacklog? get() = null

        override fun recordRefusal(): Unit = Unit
    }
}
