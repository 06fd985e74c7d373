package org.celeryusher.standin.platform

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.time.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** The current instance list and its recent versions, from which a delayed list is served. */
internal class InstanceListHistory {
    private val entries = ArrayDeque(listOf(Entry(Moment.DISTANT_PAST, PlatformInstanceList(0, emptyList()))))

    /** The current list, without delay. */
    @get:Synchronized
    val current: PlatformInstanceList get() = entries.last().list

    /** Replaces the list at [now]. */
    @Synchronized
    fun replace(
        instances: List<PlatformInstance>,
        now: Moment,
    ) {
        entries += Entry(now, PlatformInstanceList(entries.last().list.revision + 1, instances))
        while (entries.size > 2 && now - entries[1].from > LONGEST_LAG) entries.removeFirst()
    }

    /** Marks [instance] as leaving at [now]. Does nothing if the list does not contain it. */
    @Synchronized
    fun markLeaving(
        instance: InstanceName,
        now: Moment,
    ) {
        val instances = entries.last().list.instances
        if (instances.none { it.instance == instance }) return
        replace(instances.map { if (it.instance == instance) it.copy(state = PlatformInstanceState.LEAVING) else it }, now)
    }

    /** Returns the list as it was [lag] before [now]. */
    @Synchronized
    fun visibleAt(
        now: Moment,
        lag: Duration,
    ): PlatformInstanceList = entries.last { it.from <= now - lag }.list

    private class Entry(
        val from: Moment,
        val list: PlatformInstanceList,
    )

    private companion object {
        val LONGEST_LAG = 10.minutes
    }
}
