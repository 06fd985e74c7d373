package org.celeryusher.kernel.admission

import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.configuration.RankDeclaration
import org.celeryusher.kernel.configuration.ServiceDeclaration
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration.Companion.milliseconds

/** Returns the policy of a server with [slots] for ranks with the given [shares], the most urgent first. */
internal fun policyOf(
    vararg shares: Double,
    slots: Int = 6,
    settings: FleetSettings = FleetSettings(),
): AdmissionPolicy =
    AdmissionPolicy.of(
        shares.mapIndexed { position, share -> RankDeclaration(RankName("rank-$position"), share) },
        settings,
        ServiceDeclaration(ServiceName("service"), slots, connections = 130),
    )

/** Returns the moment [milliseconds] after the origin of virtual time. */
internal fun at(milliseconds: Long): Moment = Moment(0) + milliseconds.milliseconds
