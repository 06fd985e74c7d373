package org.celeryusher.kernel.distribution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A peer's answer to a starting node: the [version] that the peer has in force. A peer with nothing in force does not report. */
@Serializable
public data class FloorReport(
    public val instance: InstanceName,
    public val dataCentre: DataCentreName,
    public val version: Long,
)

/** The number of [peers] and [dataCentres] that must report before a starting node knows its floor, and how long it waits at most. */
public data class FloorSettings(
    public val peers: Int = 3,
    public val dataCentres: Int = 2,
    public val waitLimit: Duration = 2.seconds,
)

/**
 * The lowest version that a node may put in force just after its start.
 *
 * A restarted process does not know which version it had in force before, so it asks peers. The floor is the highest version that they
 * report. It is known once enough peers from enough data centres have reported, among them one in the node's own data centre. After the
 * wait limit, the floor no longer applies.
 */
public class VersionFloor(
    startedAt: Moment,
    private val ownDataCentre: DataCentreName,
    private val settings: FloorSettings = FloorSettings(),
) {
    private val reports = mutableMapOf<InstanceName, FloorReport>()

    /** The latest moment at which the wait for the floor ends. */
    public val expiresAt: Moment = startedAt + settings.waitLimit

    /** The highest version reported so far, or null when no peer has reported. */
    public val highestReported: Long? get() = reports.values.maxOfOrNull(FloorReport::version)

    /** Adds [report]. It replaces an earlier report of the same instance unless its version is lower. */
    public fun add(report: FloorReport) {
        if (report.version >= (reports[report.instance]?.version ?: 0)) reports[report.instance] = report
    }

    /** Returns whether a node may put [version] in force at [now]. */
    public fun admits(
        version: Long,
        now: Moment,
    ): Boolean = now >= expiresAt || (isKnown() && version >= (highestReported ?: 0))

    private fun isKnown(): Boolean {
        val dataCentres = reports.values.mapTo(mutableSetOf(), FloorReport::dataCentre)
        return reports.size >= settings.peers && dataCentres.size >= settings.dataCentres && ownDataCentre in dataCentres
    }
}
