package org.celeryusher.node.metrics

/** How many connections to other nodes have gone silent while calls waited on them. */
public data class PathCounts(
    /** The connections that carried no new calls because a ping was not answered. */
    public val suspected: Long = 0,
    /** The connections that were replaced because a ping was not answered for longer. */
    public val replaced: Long = 0,
)
