package org.celeryusher.standin.platform

import kotlin.test.Test
import kotlin.test.assertEquals

class PlatformStateTest {
    private data class Case(
        val faults: List<PlatformFault>,
        val served: List<Long>,
    )

    @Test
    fun faultsDetermineTheServedVersions() {
        val cases =
            listOf(
                Case(emptyList(), listOf(3, 3, 3)),
                Case(listOf(PlatformFault.Stale(1)), listOf(2, 2, 2)),
                Case(listOf(PlatformFault.Stale(9)), listOf(1, 1, 1)),
                Case(listOf(PlatformFault.AlternatingVersions), listOf(3, 2, 3)),
                Case(listOf(PlatformFault.AlternatingVersions, PlatformFault.Stale(1)), listOf(2, 1, 2)),
                Case(listOf(PlatformFault.AlternatingVersions, PlatformFault.Stale(2)), listOf(1, 1, 1)),
            )
        for (case in cases) {
            val state = (1L..3).fold(PlatformState()) { state, version -> state.withVersion(PublishedVersion(version, ByteArray(0))) }
            val faulty = state.copy(faults = case.faults)
            assertEquals(case.served, (0L..2).map { faulty.versionFor(it)?.version }, "faults ${case.faults}")
        }
    }

    @Test
    fun servesNothingBeforeTheFirstPublication() {
        assertEquals(null, PlatformState(faults = listOf(PlatformFault.AlternatingVersions)).versionFor(1))
    }
}
