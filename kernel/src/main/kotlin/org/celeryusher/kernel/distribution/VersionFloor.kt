package org.celeryusher.kernel.distribution

import kotlinx.serialization.Serializable
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One peer's answer to a starting node: the [version] that it has in force. A peer that has none in force makes no report. */
@Serializable
public data class FloorReport(
    public val instance: InstanceName,
    public val dataCentre: DataCentreName,
    public val version: Long,
)

/** How many reports a starting node needs before it knows its floor, and how long it waits at most. */
public data class FloorSettings(
    public val peers: Int = 3,
    public val dataCentres: Int = 2,
    public val waitLimit: Duration = 2.seconds,
)

/**
 * The version below which a node that has just started puts nothing in force.
 *
 * A process has no memory of the life before it, so it asks peers. The floor is known once enough peers have reported, of them one in its
 * own data centre and enough data centres in all; it is the highest version reported. After the wait limit the floor binds no more.
 */
public class VersionFloor(
    startedAt: Moment,
    private val ownDataCentre: DataCentreName,
    private val settings: FloorSettings = FloorSettings(),
) {
    private val reports = mutableMapOf<InstanceName, FloorReport>()

    /** When the wait for the floor ends at the latest. */
    public val expiresAt: Moment = startedAt + settings.waitLimit

    /** The highest version reported so far, or null when no peer has reported. */
    public val highestReported: Long? get() = reports.values.maxOfOrNull(FloorReport::version)

    /** Takes in [report]; a later one of the same instance replaces the earlier, unless its version is lower. */
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
