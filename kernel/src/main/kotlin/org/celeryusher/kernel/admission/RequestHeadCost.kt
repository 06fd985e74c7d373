package org.celeryusher.kernel.admission

/** Estimates the heap that the head of a request takes once it is parsed. */
public object RequestHeadCost {
    /**
     * The objects of one field: the field itself (24 bytes), two strings with their arrays (48 bytes and more each), a list slot, and the
     * line that it was split from (48 bytes), with the size of a further copy of the field list.
     */
    private const val FIELD_BYTES = 224L

    /** The text of the head, the lines that it is split into, and the names and values of the fields. */
    private const val TEXT_COPIES = 3L

    /** A head of this cost is covered by what its connection is charged from its opening on. */
    public const val FREE_BYTES: Long = 8_192

    /** Returns the bytes to charge for a head of [bytes] in [lines] before it is parsed. */
    public fun of(
        bytes: Int,
        lines: Int,
    ): Long = (bytes * TEXT_COPIES + lines * FIELD_BYTES - FREE_BYTES).coerceAtLeast(0)
}
