package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.kernel.membership.Member
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.DurationUnit

internal val START = Moment(0)

internal fun at(sinceStart: Duration): Moment = START + sinceStart

internal val Moment.secondsSinceStart: Double get() = (this - START).toDouble(DurationUnit.SECONDS)

/** Returns [count] members `i0`, `i1`, … assigned in turn to [dataCentres] data centres `d0`, `d1`, … */
internal fun members(
    count: Int,
    dataCentres: Int = 4,
): List<Member> =
    List(count) { index ->
        val address = Address("10.0.0.1", 1)
        Member(InstanceName("i$index"), ServiceName("desk"), DataCentreName("d${index % dataCentres}"), address, address, address)
    }
