package org.celeryusher.node.log

import org.celeryusher.kernel.time.Moment

/** One decision of a node: what was [decided] on [subject] [at] that moment, and the [reason]. */
public class Decision internal constructor(
    public val at: Moment,
    public val subject: String,
    public val decided: String,
    public val reason: String,
    private val namedInputs: Array<out Pair<String, Any?>>,
) {
    /** What the decision was made from, as text by name. */
    public val inputs: Map<String, String> get() = namedInputs.associate { (name, value) -> name to value.toString() }
}
