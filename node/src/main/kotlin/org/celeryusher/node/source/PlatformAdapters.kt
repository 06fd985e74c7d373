package org.celeryusher.node.source

import java.util.ServiceLoader

/** The platform adapters that registered themselves. */
public object PlatformAdapters {
    private val adapters by lazy { ServiceLoader.load(PlatformAdapter::class.java).associateBy(PlatformAdapter::name) }

    /** The names of all adapters. */
    public val names: Set<String> get() = adapters.keys

    /** Returns the adapter [name]. @throws IllegalArgumentException when none has that name. */
    public fun named(name: String): PlatformAdapter =
        requireNotNull(
            adapters[name],
        ) { "there is no platform adapter \"$name\"; there are ${adapters.keys.joinToString().ifEmpty { "none" }}" }
}
