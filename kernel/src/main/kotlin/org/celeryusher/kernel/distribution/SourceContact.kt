package org.celeryusher.kernel.distribution

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how long ago a node was in contact with the platform, by which other nodes choose whom they ask.
 *
 * Addresses documents that take long on the link of a reader: data counts from the request, so it looks old when the document has arrived,
 * although no other node would have had it earlier.
 */
public object SourceContact {
    /** How much older a configuration may be whose successor is arriving: a document of 1 MB takes that long on a link of 10 Mbit/s. */
    private val transferAllowance = 1.seconds

    /**
     * Returns the age of the contact of a node whose list is [listAge] old and whose configuration is [configurationAge] old.
     *
     * [heardAge] is the time since bytes of a configuration last arrived, or [configurationAge] if none is arriving.
     */
    public fun age(
        listAge: Duration,
        configurationAge: Duration,
        heardAge: Duration,
    ): Duration = maxOf(listAge, heardAge, configurationAge - transferAllowance)
}
