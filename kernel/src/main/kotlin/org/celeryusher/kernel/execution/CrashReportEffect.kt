package org.celeryusher.kernel.execution

/** What a [CrashReport] from another node changed. */
public enum class CrashReportEffect {
    /** It contains something new, which is passed on. */
    CHANGED,

    /** Everything in it was known. */
    UNCHANGED,

    /** It is malformed, or about a crash that no longer counts. */
    REFUSED,
}
