package org.celeryusher.kernel.identity

/**
 * A position in the history of the platform's store: a [revision] within an [era].
 *
 * The store counts its changes by revisions. After it has lost changes, as when it continues from an older copy, it gives revisions out again
 * and states a higher era. Every position of a later era is after every position of an earlier one. A store that states no era is in era 0.
 */
public data class StorePosition(
    public val era: Long,
    public val revision: Long,
) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, StorePosition::era, StorePosition::revision)

    override fun toString(): String = if (era == 0L) "$revision" else "$era/$revision"

    public companion object {
        /** The position before every change. */
        public val START: StorePosition = StorePosition(0, 0)
    }
}
