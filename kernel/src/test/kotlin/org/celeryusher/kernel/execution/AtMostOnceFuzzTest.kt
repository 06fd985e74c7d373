package org.celeryusher.kernel.execution

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer
import net.jqwik.api.statistics.Statistics

/**
 * Lets proxies, owners and guards work over a network that loses, delays, doubles and reorders, with pauses and restarts.
 *
 * `-Dfuzz.tries=` sets the number of chains.
 */
internal class AtMostOnceFuzzTest {
    @Property(seed = "7405926113")
    fun noWorkRunsTwiceOrAfterNotRun(
        @ForAll("chains") chain: ActionChain<FuzzWorld>,
    ) {
        val end = chain.withInvariant { it.oracle.check() }.run()
        end.oracle.claims.forEach { Statistics.label("answers").collect(it) }
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<FuzzWorld>> =
        ActionChain
            .startWith { FuzzWorld() }
            .withAction(3, step("plain call") { plainCall(it) })
            .withAction(2, step("issue ticket") { issue(it) })
            .withAction(4, step("send ticket") { sendTicket(it) })
            .withAction(30, step("deliver") { deliver(it, keepCopy = false) })
            .withAction(6, step("deliver a copy") { deliver(it, keepCopy = true) })
            .withAction(1, step("lose") { lose(it) })
            .withAction(14, step("start") { node(it)?.startNext(it / FuzzWorld.NODES) })
            .withAction(8, step("finish") { node(it)?.finishNext(it / FuzzWorld.NODES) })
            .withAction(2, step("refuse") { node(it)?.refuseNext(it / FuzzWorld.NODES) })
            .withAction(1, step("server crash") { node(it)?.crashServer() })
            .withAction(2, step("cancel") { node(it)?.ask(it / FuzzWorld.NODES, cancel = true) })
            .withAction(2, step("resolve") { node(it)?.ask(it / FuzzWorld.NODES, cancel = false) })
            .withAction(1, step("give up") { node(it)?.giveUp(it / FuzzWorld.NODES) })
            .withAction(2, step("hello") { hello(it) })
            .withAction(6, step("pass time") { pass(it % MAXIMUM_STEP_MILLISECONDS) })
            .withAction(1, step("pause or wake") { pauseOrWake(it) })
            .withAction(1, step("restart") { restart(it) })
            .withMaxTransformations(MAXIMUM_STEPS)

    private fun step(
        name: String,
        run: FuzzWorld.(Int) -> Unit,
    ) = object : Action.Independent<FuzzWorld> {
        override fun transformer(): Arbitrary<Transformer<FuzzWorld>> =
            Arbitraries.integers().between(0, MAXIMUM_CHOICE).map { choice -> Transformer.mutate("$name $choice") { it.run(choice) } }
    }

    private companion object {
        private const val MAXIMUM_STEPS = 300
        private const val MAXIMUM_CHOICE = 9_999
        private const val MAXIMUM_STEP_MILLISECONDS = 200
    }
}
