package org.celeryusher.node.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.celeryusher.kernel.error.ErrorKind

/** Counts the copies of late first attempts that were sent, won or were refused. */
public class HedgeMeters internal constructor(
    registry: MeterRegistry,
) {
    private val sent = counter(registry, "sent")
    private val won = counter(registry, "won")
    private val refusedByBudget = counter(registry, "budget")
    private val refusedByOverload = counter(registry, "overload")

    /** The number of copies that were sent. */
    public val sentCount: Long get() = sent.count().toLong()

    /** The number of copies whose answer was used. */
    public val wonCount: Long get() = won.count().toLong()

    /** The number of copies that a guard refused because of the retry budget. */
    public val budgetRefusals: Long get() = refusedByBudget.count().toLong()

    /** The number of late first attempts without a copy because of load. */
    public val overloadRefusals: Long get() = refusedByOverload.count().toLong()

    /** Counts a copy that was sent. */
    public fun recordSent(): Unit = sent.increment()

    /** Counts a copy whose answer was used. */
    public fun recordWon(): Unit = won.increment()

    /** Counts a copy that was not sent because of load. */
    public fun recordOverload(): Unit = refusedByOverload.increment()

    /** Counts a copy that a guard refused with [kind], if that is because of the retry budget or of load. */
    public fun recordRefusal(kind: ErrorKind): Unit =
        when (kind) {
            ErrorKind.RETRY_BUDGET_SPENT -> refusedByBudget.increment()
            ErrorKind.OVERLOADED, ErrorKind.DEADLINE_BEFORE_START, ErrorKind.SERVER_SHED -> refusedByOverload.increment()
            else -> Unit
        }

    private fun counter(
        registry: MeterRegistry,
        result: String,
    ): Counter = Counter.builder("celeryusher.hedges").tag("result", result).register(registry)
}
