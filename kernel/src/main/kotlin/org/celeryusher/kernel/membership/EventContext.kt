package org.celeryusher.kernel.membership

import org.celeryusher.kernel.time.Moment
import kotlin.random.Random

/** The context in which [Membership] handles one event: the time, the source of random numbers, and the decisions made so far. */
internal class EventContext(
    val now: Moment,
    val random: Random,
) {
    val decisions = mutableListOf<MembershipDecision>()

    operator fun plusAssign(decision: MembershipDecision) {
        decisions += decision
    }
}
