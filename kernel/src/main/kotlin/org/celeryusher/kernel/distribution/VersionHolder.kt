package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import arrow.core.nonEmptyListOf
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.time.Moment

/**
 * The configuration that one node has in force, and the rules by which another takes its place.
 *
 * Within one life of a node the version only rises. A document is taken whole or refused whole; the last good one stays. Just after the
 * start a valid configuration waits for the [VersionFloor]. The caller synchronizes; all values returned are immutable.
 */
public class VersionHolder(
    private val floor: VersionFloor,
    memoryLimit: Int = DEFAULT_MEMORY_LIMIT,
) {
    private val refused = RefusedDocuments(memoryLimit)
    private val conflicts = BoundedMap<ConfigurationDigest, Moment>(memoryLimit)
    private val record = EventRecord(memoryLimit)
    private var waiting: HeldConfiguration? = null

    /** The configuration in force, or null before the first. */
    public var current: HeldConfiguration? = null
        private set

    /** What happened, the latest last. A repetition of the same refusal or conflict is not recorded again. */
    public val events: List<HolderEvent> get() = record.events

    /** When [onTime] is due, or null when nothing waits. */
    public val nextTime: Moment? get() = if (waiting != null) floor.expiresAt else null

    /**
     * Takes in the document in [bytes] from [source]; [claimed] is the digest under which a peer announced it.
     *
     * A valid document that has not the claimed digest was damaged on the way, and is refused without being remembered.
     */
    public fun offer(
        bytes: ByteArray,
        source: ConfigurationSource,
        now: Moment,
        claimed: ConfigurationDigest? = null,
    ): OfferDecision {
        val fingerprint = RefusedDocuments.fingerprintOf(bytes)
        val knownFaults = refused.faultsOf(fingerprint)
        if (knownFaults != null) return refuseAgain(fingerprint, knownFaults, source, now, claimed)
        return ConfigurationParser.parse(bytes).fold(
            { faults -> refuse(bytes, fingerprint, faults, source, now) },
            { snapshot -> if (claimed == null || claimed == snapshot.digest) offer(snapshot, source, now) else damaged(claimed, snapshot) },
        )
    }

    /** Takes in [snapshot] from [source]. */
    public fun offer(
        snapshot: ConfigurationSnapshot,
        source: ConfigurationSource,
        now: Moment,
    ): OfferDecision {
        val offered = snapshot.digest
        val held = (current ?: waiting)?.snapshot?.digest
        return when {
            held == null || offered.version > held.version -> admit(HeldConfiguration(snapshot, source, now), now)
            offered == held -> release(now) ?: currentOrWaiting(offered)
            offered.version == held.version -> conflict(offered, held, source, now)
            else -> OfferDecision.Older(offered, held)
        }
    }

    /** Takes in a peer's [report]; returns the decision when a waiting configuration is put in force by it. */
    public fun reportFloor(
        report: FloorReport,
        now: Moment,
    ): OfferDecision.InForce? {
        floor.add(report)
        return release(now)
    }

    /** Puts the waiting configuration in force when its wait has run out; to be called at [nextTime]. */
    public fun onTime(now: Moment): OfferDecision.InForce? = release(now)

    /** Returns whether [announced] is worth asking a peer for: it is newer than all that this node has, and was not refused here before. */
    public fun wants(
        announced: ConfigurationDigest,
        now: Moment,
    ): Boolean {
        val held = (current ?: waiting)?.snapshot?.digest
        return !refused.avoids(announced, now) && (held == null || announced.version > held.version)
    }

    /**
     * Returns the version after which a watch of the platform shall wait, 0 to get the present document at once.
     *
     * A document that was refused lately is waited past, so that the watch does not answer it again and again; from time to time it is
     * read anew, in case the operators published a good one with a lower number.
     */
    public fun watchAfter(now: Moment): Long {
        val held = (current ?: waiting)?.snapshot?.digest?.version ?: 0
        return maxOf(held, refused.versionOnPlatform(now) ?: 0)
    }

    private fun admit(
        offered: HeldConfiguration,
        now: Moment,
    ): OfferDecision {
        waiting = offered.takeIf { current == null }
        if (current != null) return putInForce(offered, now)
        return release(now) ?: currentOrWaiting(offered.snapshot.digest)
    }

    private fun release(now: Moment): OfferDecision.InForce? {
        val candidate = waiting ?: return null
        return if (floor.admits(candidate.snapshot.digest.version, now)) putInForce(candidate, now) else null
    }

    private fun putInForce(
        offered: HeldConfiguration,
        now: Moment,
    ): OfferDecision.InForce {
        val version = offered.snapshot.digest.version
        val belowFloor = if (current == null) floor.highestReported?.takeIf { it > version } else null
        val previous = current?.snapshot?.digest
        val held = offered.copy(since = now)
        current = held
        waiting = null
        record.add(HolderEvent.Taken(now, offered.source, offered.snapshot.digest, belowFloor))
        return OfferDecision.InForce(held, previous, belowFloor)
    }

    private fun currentOrWaiting(digest: ConfigurationDigest): OfferDecision =
        if (waiting == null) OfferDecision.AlreadyHeld(digest) else OfferDecision.HeldBelowFloor(digest, floor.highestReported)

    private fun conflict(
        offered: ConfigurationDigest,
        held: ConfigurationDigest,
        source: ConfigurationSource,
        now: Moment,
    ): OfferDecision {
        if (offered !in conflicts) record.add(HolderEvent.Conflict(now, source, offered, held))
        conflicts[offered] = now
        return OfferDecision.ConflictingContent(offered, held)
    }

    private fun refuse(
        bytes: ByteArray,
        fingerprint: RefusedDocuments.Fingerprint,
        faults: NonEmptyList<ConfigurationFault>,
        source: ConfigurationSource,
        now: Moment,
    ): OfferDecision {
        val version = ConfigurationParser.versionOrNull(bytes)
        refused.add(fingerprint, faults, version)
        if (source == ConfigurationSource.Platform) refused.addFromPlatform(fingerprint, now)
        record.add(HolderEvent.Refused(now, source, version, refused.faultsOf(fingerprint) ?: faults))
        return OfferDecision.Refused(faults, repeated = false)
    }

    private fun refuseAgain(
        fingerprint: RefusedDocuments.Fingerprint,
        faults: NonEmptyList<ConfigurationFault>,
        source: ConfigurationSource,
        now: Moment,
        claimed: ConfigurationDigest?,
    ): OfferDecision {
        claimed?.let { refused.addRepeated(it, now) }
        if (source == ConfigurationSource.Platform) refused.addFromPlatform(fingerprint, now)
        return OfferDecision.Refused(faults, repeated = true)
    }

    private fun damaged(
        claimed: ConfigurationDigest,
        snapshot: ConfigurationSnapshot,
    ): OfferDecision {
        val fault = ConfigurationFault("$", snapshot.digest.toString(), "is not the configuration that was announced, $claimed")
        return OfferDecision.Refused(nonEmptyListOf(fault), repeated = false)
    }

    private companion object {
        const val DEFAULT_MEMORY_LIMIT = 64
    }
}
