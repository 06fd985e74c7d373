package org.celeryusher.kernel.distribution

import arrow.core.NonEmptyList
import arrow.core.nonEmptyListOf
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.configuration.ConfigurationSnapshot
import org.celeryusher.kernel.time.Moment

/**
 * Holds the configuration that one node has in force, and decides when another one replaces it.
 *
 * The version never decreases during the lifetime of a process. A document is accepted or refused as a whole; after a refusal, the last
 * valid one stays in force. Just after startup, a valid configuration waits until the [VersionFloor] admits it. Not thread-safe: the caller
 * synchronizes. All returned values are immutable.
 */
public class VersionHolder(
    private val floor: VersionFloor,
    maximumRememberedEntries: Int = DEFAULT_REMEMBERED_ENTRIES,
) {
    private val refused = RefusedDocuments(maximumRememberedEntries)
    private val conflicts = BoundedMap<ConfigurationDigest, Moment>(maximumRememberedEntries)
    private val history = EventHistory(maximumRememberedEntries)
    private var waiting: HeldConfiguration? = null

    /** The configuration in force, or null before the first one. */
    public var current: HeldConfiguration? = null
        private set

    /** The latest events, oldest first. A repeated refusal or conflict is not recorded again. */
    public val events: List<HolderEvent> get() = history.events

    /** When [releaseIfDue] is due, or null when no configuration waits for the floor. */
    public val releaseDueAt: Moment? get() = if (waiting != null) floor.expiresAt else null

    /**
     * Validates the document in [bytes] from [source] and decides whether to put it in force.
     *
     * [claimed] is the digest under which a peer announced the document. A valid document with another digest was corrupted in transit; it
     * is refused but not remembered as refused.
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
            { snapshot ->
                if (claimed == null || claimed == snapshot.digest) offer(snapshot, source, now) else refuseMismatch(claimed, snapshot)
            },
        )
    }

    /** Decides whether to put [snapshot] from [source] in force. */
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
            offered.version == held.version -> refuseConflict(offered, held, source, now)
            else -> OfferDecision.Older(offered, held)
        }
    }

    /** Adds a peer's [peerVersion] to the floor, and returns the decision when this puts a waiting configuration in force. */
    public fun addPeerVersion(
        peerVersion: PeerVersion,
        now: Moment,
    ): OfferDecision.InForce? {
        floor.add(peerVersion)
        return release(now)
    }

    /** Puts a waiting configuration in force if the floor admits it at [now]. Call it at [releaseDueAt]. */
    public fun releaseIfDue(now: Moment): OfferDecision.InForce? = release(now)

    /** Returns whether to pull [announced] from a peer: it is newer than anything held here, and was not recently refused repeatedly. */
    public fun shouldPull(
        announced: ConfigurationDigest,
        now: Moment,
    ): Boolean {
        val held = (current ?: waiting)?.snapshot?.digest
        return !refused.isSuppressed(announced, now) && (held == null || announced.version > held.version)
    }

    /**
     * Returns the version that a watch of the platform passes as the last known one, or 0 to get the current document immediately.
     *
     * A recently refused version counts as known, so that the watch does not return the same document over and over. It expires after a
     * while, in case the operators published a valid document with a lower version.
     */
    public fun watchAfter(now: Moment): Long {
        val held = (current ?: waiting)?.snapshot?.digest?.version ?: 0
        return maxOf(held, refused.refusedPlatformVersion(now) ?: 0)
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
        history.add(HolderEvent.PutInForce(now, offered.source, offered.snapshot.digest, belowFloor))
        return OfferDecision.InForce(held, previous, belowFloor)
    }

    private fun currentOrWaiting(digest: ConfigurationDigest): OfferDecision =
        if (waiting == null) OfferDecision.AlreadyHeld(digest) else OfferDecision.WaitingForFloor(digest, floor.highestReported)

    private fun refuseConflict(
        offered: ConfigurationDigest,
        held: ConfigurationDigest,
        source: ConfigurationSource,
        now: Moment,
    ): OfferDecision {
        if (offered !in conflicts) history.add(HolderEvent.Conflict(now, source, offered, held))
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
        history.add(HolderEvent.Refused(now, source, version, refused.faultsOf(fingerprint) ?: faults))
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

    private fun refuseMismatch(
        claimed: ConfigurationDigest,
        snapshot: ConfigurationSnapshot,
    ): OfferDecision {
        val fault = ConfigurationFault("$", snapshot.digest.toString(), "does not match the announced configuration $claimed")
        return OfferDecision.Refused(nonEmptyListOf(fault), repeated = false)
    }

    private companion object {
        const val DEFAULT_REMEMBERED_ENTRIES = 64
    }
}
