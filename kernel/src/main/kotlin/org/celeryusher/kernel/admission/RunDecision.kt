package org.celeryusher.kernel.admission

import org.celeryusher.kernel.execution.RequestFingerprint
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import kotlin.time.Duration

/**
 * A request of a caller at its entry node, on [route] to [service]; [rankPosition] is 0 for the most urgent rank. Equal requests have the
 * same [fingerprint]; without one, requests are taken for distinct.
 */
public data class RunRequest(
    public val route: RouteName,
    public val service: ServiceName,
    public val rankPosition: Int,
    public val origin: CallOrigin,
    public val fingerprint: RequestFingerprint? = null,
)

/** The decision of [RunAdmission] about a request. */
public sealed interface RunDecision {
    /** The request is sent on. */
    public data object Admit : RunDecision

    /** The request is refused at once, because its run needs [called], which cannot take more. */
    public data class Refuse(
        public val called: ServiceName,
        /** The share of the requests on this route that is admitted. */
        public val admittedShare: Double,
        /** The share of the recent calls to [called] that was served in time. */
        public val servedShare: Double,
        /** The time after which a request on this route is expected to be admitted. */
        public val retryAfter: Duration,
    ) : RunDecision
}
