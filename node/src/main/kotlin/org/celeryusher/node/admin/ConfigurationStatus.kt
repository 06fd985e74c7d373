package org.celeryusher.node.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.distribution.HolderEvent
import org.celeryusher.kernel.distribution.SourceNews
import org.celeryusher.kernel.distribution.VersionHolder
import org.celeryusher.kernel.time.Moment

/** The configuration that a node has in force, how fresh its news of the platform is, and which versions it took and refused. */
@Serializable
public data class ConfigurationStatus(
    /** Null before the first configuration. */
    public val version: Long? = null,
    /** The hash of the content in hexadecimal digits. */
    public val contentHash: String? = null,
    public val heldForMilliseconds: Long? = null,
    /** From whom the version came. */
    public val source: String? = null,
    /** How long ago the platform last answered any node of which this one has heard; null when it never has. */
    public val sourceAgeMilliseconds: Long? = null,
    /** What happened to the configuration, the latest last. */
    public val events: List<ConfigurationEvent> = emptyList(),
) {
    public companion object {
        /** Describes what [holder] holds and [news] knows. The caller synchronizes, as for [holder] itself. */
        public fun of(
            holder: VersionHolder,
            news: SourceNews,
            now: Moment,
        ): ConfigurationStatus {
            val held = holder.current
            return ConfigurationStatus(
                version = held?.snapshot?.digest?.version,
                contentHash = held?.snapshot?.digest?.let { hashText(it.contentHash) },
                heldForMilliseconds = held?.let { (now - it.since).inWholeMilliseconds },
                source = held?.source?.toString(),
                sourceAgeMilliseconds = news.age(now)?.inWholeMilliseconds,
                events = holder.events.map { ConfigurationEvent.of(it, now) },
            )
        }
    }
}

/** Something that happened to the configuration of a node. */
@Serializable
public sealed interface ConfigurationEvent {
    public val agoMilliseconds: Long
    public val source: String

    /** [version] was put in force; [belowFloor] is the higher version that peers had reported, when its wait ran out. */
    @Serializable
    @SerialName("taken")
    public data class Taken(
        override val agoMilliseconds: Long,
        override val source: String,
        public val version: Long,
        public val belowFloor: Long? = null,
    ) : ConfigurationEvent

    /** A document was refused for [faults]; [furtherFaults] more are not listed. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        override val agoMilliseconds: Long,
        override val source: String,
        public val version: Long? = null,
        public val faults: List<String>,
        public val furtherFaults: Int = 0,
    ) : ConfigurationEvent

    /** Another content for the held [version] was refused. */
    @Serializable
    @SerialName("conflict")
    public data class Conflict(
        override val agoMilliseconds: Long,
        override val source: String,
        public val version: Long,
        public val offeredHash: String,
        public val heldHash: String,
    ) : ConfigurationEvent

    public companion object {
        private const val MAXIMUM_FAULTS = 10

        /** Describes [event] as of [now]. */
        public fun of(
            event: HolderEvent,
            now: Moment,
        ): ConfigurationEvent {
            val ago = (now - event.at).inWholeMilliseconds
            val source = event.source.toString()
            return when (event) {
                is HolderEvent.Taken -> Taken(ago, source, event.digest.version, event.belowFloor)
                is HolderEvent.Refused -> refused(ago, source, event.version, event.faults)
                is HolderEvent.Conflict ->
                    Conflict(ago, source, event.held.version, hashText(event.offered.contentHash), hashText(event.held.contentHash))
            }
        }

        private fun refused(
            ago: Long,
            source: String,
            version: Long?,
            faults: List<ConfigurationFault>,
        ): Refused =
            Refused(
                ago,
                source,
                version,
                faults.take(MAXIMUM_FAULTS).map { it.toString() },
                (faults.size - MAXIMUM_FAULTS).coerceAtLeast(0),
            )
    }
}

private const val HEXADECIMAL = 16

private fun hashText(hash: Long): String = hash.toULong().toString(HEXADECIMAL)
