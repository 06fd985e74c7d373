package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment
import kotlin.random.Random

/** The handling of one event: its time, its source of random numbers, and the decisions so far. */
internal class Step(
    val now: Moment,
    val random: Random,
) {
    val decisions = mutableListOf<MembershipDecision>()

    operator fun plusAssign(decision: MembershipDecision) {
        decisions += decision
    }
}
