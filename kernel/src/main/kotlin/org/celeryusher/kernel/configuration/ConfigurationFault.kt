package org.celeryusher.kernel.configuration

/** A fault in a refused configuration document, with its JSON [path] such as `$.routes[2].rank` and the [offendingValue] as written. */
public data class ConfigurationFault(
    public val path: String,
    public val offendingValue: String,
    public val message: String,
) {
    override fun toString(): String = "$path: $message (found $offendingValue)"
}
