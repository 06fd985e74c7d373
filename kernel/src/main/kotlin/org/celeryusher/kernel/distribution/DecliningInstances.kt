package org.celeryusher.kernel.distribution

import org.celeryusher.kernel.identity.InstanceName

/**
 * The instances that, as far as this node knows, decline to be asked for the platform's data, this one included. Not thread-safe.
 *
 * A node learns the limits of others from those that it asks, or that ask it: see [DocumentLimit].
 */
internal class DecliningInstances(
    private val ownLimit: Long?,
) {
    private var own: InstanceName? = null
    private var documentBytes: Int? = null
    private val limits = HashMap<InstanceName, Long>()

    /** The instances that decline with the document in force; another set once it differs. */
    var names: Set<InstanceName> = emptySet()
        private set

    /** Whether this node declines. */
    val includesOwn: Boolean get() = own != null && DocumentLimit.declines(ownLimit, documentBytes)

    /** The limit of this node while it declines, or null. */
    val ownStatement: DocumentLimit? get() = own?.takeIf { includesOwn }?.let { DocumentLimit(it, checkNotNull(ownLimit)) }

    /** Returns the limit of [instance] if it is known to decline, or null. */
    fun statementOf(instance: InstanceName): DocumentLimit? {
        val bytes = limits[instance] ?: return null
        return DocumentLimit(instance, bytes).takeIf { instance in names }
    }

    /** Records that the document in force has [bytes]. */
    fun documentIs(bytes: Int?) {
        if (bytes == documentBytes) return
        documentBytes = bytes
        update()
    }

    /** Records that this node is beside [own] and that there are [instances]; the limits of all others are forgotten. */
    fun instancesAre(
        own: InstanceName?,
        instances: Set<InstanceName>,
    ) {
        this.own = own
        limits.keys.retainAll(instances)
        update()
    }

    /** Records the [stated] limits. */
    fun add(stated: List<DocumentLimit>) {
        stated.associateTo(limits) { it.instance to it.bytes }
        update()
    }

    private fun update() {
        limits.keys.removeIf { it == own }
        val declining = limits.filterValues { DocumentLimit.declines(it, documentBytes) }.keys + setOfNotNull(own?.takeIf { includesOwn })
        if (declining != names) names = declining
    }
}
