package org.celeryusher.node.call

import org.celeryusher.kernel.admission.GuardLoad
import org.celeryusher.kernel.execution.AttemptReference
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.time.Moment

/** One attempt of a call, as it reaches the guard that is to run it. */
public class GuardCall(
    /** Names this attempt, the life of the guard that it is meant for, and when it expires on that guard's clock. */
    public val reference: AttemptReference,
    public val route: RouteName,
    public val rankPosition: Int,
    public val idempotent: Boolean,
    public val request: CallRequest,
    /** The ticket under which the work runs at most once, as text. */
    public val ticket: String?,
    /** Whether the proxy suspects the request of stopping backend servers, so that it runs alone. */
    public val suspected: Boolean,
    /** The backend server that the proxy has chosen, or null for whichever this guard serves. */
    public val server: InstanceName? = null,
    /** Until when the answer has its full worth, or null when that moment has passed or is not known. */
    public val targetEnd: Moment? = null,
)

/** What a guard answers: the result, and its load for the choice of backend servers. */
public class GuardReply(
    public val result: CallResult,
    public val load: GuardLoad?,
    /** How many crashes the request is known to have caused, when it is suspected. */
    public val crashes: Int = 0,
)
