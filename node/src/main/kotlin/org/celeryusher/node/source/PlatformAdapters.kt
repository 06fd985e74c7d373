package org.celeryusher.node.source

import java.util.ServiceLoader

/** The registered platform adapters. */
public object PlatformAdapters {
    private val adapters by lazy { ServiceLoader.load(PlatformAdapter::class.java).associateBy(PlatformAdapter::name) }

    /** The names of all adapters. */
    public val names: Set<String> get() = adapters.keys

    /**
     * Returns the adapter named [name].
     *
     * @throws IllegalArgumentException when there is no such adapter
     */
    public fun named(name: String): PlatformAdapter =
        requireNotNull(
            adapters[name],
        ) { "unknown platform adapter \"$name\"; available adapters: ${adapters.keys.joinToString().ifEmpty { "none" }}" }
}
