package org.celeryusher.standin.measure

import kotlinx.serialization.Serializable

/** Report of a measurement, which can be printed as JSON or as a table. */
@Serializable
public sealed interface MeasurementReport {
    /** Returns the report as a text table. */
    public fun table(): String
}
