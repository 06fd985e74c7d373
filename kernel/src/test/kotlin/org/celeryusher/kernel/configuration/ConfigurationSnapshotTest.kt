package org.celeryusher.kernel.configuration

import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.RouteName
import org.celeryusher.kernel.identity.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against an explanation of settings that differs from the settings in effect. */
class ConfigurationSnapshotTest {
    private val snapshot = SampleDocuments.snapshot(5)

    @Test
    fun explanationNamesTheOriginOfEachSetting() {
        val thinLine = SettingOrigin.Exception("east", "A thin line.")
        val slowLine = SettingOrigin.Exception("pull-east", "A slow line.")
        val pull = SettingOrigin.Route(RouteName("pull"))
        val cases =
            listOf(
                Triple(place("west", null), "2000" to SettingOrigin.Default, "3" to SettingOrigin.Default),
                Triple(place("west", "pull"), "9000" to pull, "3" to SettingOrigin.Default),
                Triple(place("east", "read"), "2000" to SettingOrigin.Default, "2" to thinLine),
                Triple(place("east", "pull"), "12000" to slowLine, "2" to thinLine),
            )
        for ((place, deadline, attempts) in cases) {
            val explained = snapshot.explain(place)
            assertEquals(SettingLimits.NAMES, explained.map { it.name })
            val found = explained.associate { it.name to (it.value to it.origin) }
            assertEquals(deadline, found["deadlineMilliseconds"], place.toString())
            assertEquals(attempts, found["maximumAttempts"], place.toString())
            val settings = snapshot.effectiveSettings(place)
            assertEquals(SettingLimits.valuesOf(settings).mapValues { it.value.content }, found.mapValues { it.value.first })
        }
    }

    private fun place(
        dataCentre: String,
        route: String?,
    ) = FleetPlace(DataCentreName(dataCentre), ServiceName("hub"), InstanceName("hub-1"), route?.let(::RouteName))
}
