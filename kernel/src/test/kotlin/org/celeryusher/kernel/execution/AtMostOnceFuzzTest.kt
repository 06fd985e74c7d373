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
 * Runs random action chains on proxies, ticket owners and guards, and checks every answer against the actual runs.
 *
 * The simulated network loses, delays, duplicates and reorders messages, and nodes pause and restart. Each of these faults can delay
 * a copy of an attempt until it must not run any more. `-Dfuzz.tries=` sets the number of chains.
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
            .withAction(3, action("plain call") { plainCall(it) })
            .withAction(2, action("issue ticket") { issue(it) })
            .withAction(4, action("send ticket") { sendTicket(it) })
            .withAction(30, action("deliver") { deliver(it, keepCopy = false) })
            .withAction(6, action("deliver a copy") { deliver(it, keepCopy = true) })
            .withAction(1, action("lose") { loseMessage(it) })
            .withAction(14, action("start") { node(it)?.startNext(it / FuzzWorld.NODES) })
            .withAction(8, action("finish") { node(it)?.finishNext(it / FuzzWorld.NODES) })
            .withAction(2, action("refuse") { node(it)?.refuseNext(it / FuzzWorld.NODES) })
            .withAction(1, action("server crash") { node(it)?.crashServer() })
            .withAction(2, action("cancel") { node(it)?.cancelOrResolve(it / FuzzWorld.NODES, cancel = true) })
            .withAction(2, action("resolve") { node(it)?.cancelOrResolve(it / FuzzWorld.NODES, cancel = false) })
            .withAction(1, action("abandon") { node(it)?.abandonCall(it / FuzzWorld.NODES) })
            .withAction(2, action("hello") { hello(it) })
            .withAction(6, action("advance time") { advanceTime(it % MAXIMUM_STEP_MILLISECONDS) })
            .withAction(1, action("pause or resume") { togglePause(it) })
            .withAction(1, action("restart") { restart(it) })
            .withMaxTransformations(MAXIMUM_ACTIONS)

    private fun action(
        name: String,
        run: FuzzWorld.(Int) -> Unit,
    ) = object : Action.Independent<FuzzWorld> {
        override fun transformer(): Arbitrary<Transformer<FuzzWorld>> =
            Arbitraries.integers().between(0, MAXIMUM_CHOICE).map { choice -> Transformer.mutate("$name $choice") { it.run(choice) } }
    }

    private companion object {
        private const val MAXIMUM_ACTIONS = 300
        private const val MAXIMUM_CHOICE = 9_999
        private const val MAXIMUM_STEP_MILLISECONDS = 200
    }
}
