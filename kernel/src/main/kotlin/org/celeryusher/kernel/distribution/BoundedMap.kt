package org.celeryusher.kernel.distribution

/** A map of at most [capacity] entries that evicts the least recently written entry when it is full. */
internal class BoundedMap<K : Any, V : Any>(
    private val capacity: Int,
) {
    private val entriesByKey = LinkedHashMap<K, V>()

    val entries: Set<Map.Entry<K, V>> get() = entriesByKey.entries
    val values: Collection<V> get() = entriesByKey.values

    operator fun get(key: K): V? = entriesByKey[key]

    operator fun contains(key: K): Boolean = key in entriesByKey

    operator fun set(
        key: K,
        value: V,
    ) {
        entriesByKey.remove(key)
        entriesByKey[key] = value
        if (entriesByKey.size > capacity) entriesByKey.remove(entriesByKey.keys.first())
    }

    fun remove(key: K): V? = entriesByKey.remove(key)
}
