package org.celeryusher.node.call

import org.celeryusher.kernel.admission.CallOrigin
import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.execution.AttemptKind
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.execution.CrashReport
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment

/** One attempt of a call, as the guard receives it. */
public class GuardCall(
    /** Identifies this attempt and the process of the guard that it is meant for, and states when it expires by that guard's clock. */
    public val reference: AttemptReference,
    public val route: RouteName,
    public val rankPosition: Int,
    public val idempotent: Boolean,
    public val request: CallRequest,
    /** The encoded ticket under which the work runs at most once, or null for a call without one. */
    public val ticket: String?,
    /** Whether the proxy suspects the request of crashing backend servers, so that it must run as an exclusive call. */
    public val suspected: Boolean,
    /** The backend server that the proxy has chosen, or null for any that this guard serves. */
    public val server: InstanceName? = null,
    /** The time until which an answer meets the target latency, or null when that time has passed or is unknown. */
    public val targetDeadline: Moment? = null,
    /** The limit on calls a second that the chosen backend server has stated, as far as the proxy knows, or null for none. */
    public val callsPerSecond: Double? = null,
    /** What the attempt means for the retry budget. */
    public val kind: AttemptKind = AttemptKind.FIRST,
    /** Where the call comes from, which decides its place in the queue. */
    public val origin: CallOrigin = CallOrigin.NEW,
)

/** The reply of a guard: the result of the attempt, and the guard's load, by which proxies choose backend servers. */
public class GuardReply(
    public val result: CallResult,
    public val load: GuardLoad?,
    /** The crash that ended the attempt, or null for any other result. */
    public val crash: CrashReport? = null,
)
