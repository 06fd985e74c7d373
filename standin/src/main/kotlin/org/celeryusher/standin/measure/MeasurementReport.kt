package org.celeryusher.standin.measure

import kotlinx.serialization.Serializable

/** What one measurement found; each kind is printed as JSON or as a table. */
@Serializable
public sealed interface MeasurementReport {
    /** Returns the report as a table for people. */
    public fun table(): String
}
