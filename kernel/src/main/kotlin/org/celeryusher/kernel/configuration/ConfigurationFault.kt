package org.celeryusher.kernel.configuration

/** One reason why a configuration document is refused: the JSON [path] (`$.routes[2].rank`), the [offendingValue] as written, and what is wrong. */
public data class ConfigurationFault(
    public val path: String,
    public val offendingValue: String,
    public val message: String,
) {
    override fun toString(): String = "$path: $message (found $offendingValue)"
}
