package org.celeryusher.node.log

import org.celeryusher.kernel.time.Moment

/** A decision of a node: [decided] is the result for [subject] at the time [at], and [reason] says why. */
public class Decision internal constructor(
    public val at: Moment,
    public val subject: String,
    public val decided: String,
    public val reason: String,
    private val namedInputs: Array<out Pair<String, Any?>>,
) {
    /** The values that the decision was based on, as text by name. */
    public val inputs: Map<String, String> get() = namedInputs.associate { (name, value) -> name to value.toString() }
}
