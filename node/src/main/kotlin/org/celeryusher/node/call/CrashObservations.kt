package org.celeryusher.node.call

import org.celeryusher.kernel.error.ErrorKind
import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.time.Moment

/** Records what the [reply] of the guard of [endpoint] shows about crashes while a request with [fingerprint] was running. */
internal fun CrashRegistry.recordReply(
    fingerprint: RequestFingerprint,
    endpoint: Member,
    reply: GuardReply,
    now: Moment,
) {
    // A guard can report only crashes of its own backend server.
    reply.crash?.takeIf { it.id.server == endpoint.instance }?.let { merge(it, "${endpoint.frameAddress}", now) }
    if (reply.result.showsCompletion) recordCompletion(fingerprint, now)
    if (reply.isGuardLost) recordLoss(endpoint, fingerprint, now)
}

/** Whether the request may have ended a backend server or the node beside it. */
internal val GuardReply.showsCrash: Boolean
    get() = crash != null || isGuardLost || (result as? CallResult.Failed)?.kind == ErrorKind.SERVER_CRASHED

/** Whether the connection to the guard was lost, in contrast to that of a guard to its backend server. */
private val GuardReply.isGuardLost: Boolean
    get() = load == null && (result as? CallResult.Failed)?.kind == ErrorKind.CONNECTION_LOST
