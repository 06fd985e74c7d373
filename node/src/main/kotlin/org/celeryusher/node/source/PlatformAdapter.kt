package org.celeryusher.node.source

import arrow.core.Either
import arrow.core.NonEmptyList
import org.celeryusher.kernel.configuration.ConfigurationDocument
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.distribution.SourceRead
import org.celeryusher.kernel.distribution.StatedEra
import org.celeryusher.kernel.membership.EvacuationChange
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.node.call.CallHeaders
import org.celeryusher.node.http.HeaderField
import kotlin.time.Duration

/**
 * Translates names, formats and requests between celeryusher and one kind of platform. It makes no decisions.
 *
 * Adapters are `java.util.ServiceLoader` providers; the settings of a node select one by its name.
 */
public interface PlatformAdapter {
    /** The name that selects this adapter in the settings. */
    public val name: String

    /** The header fields that callers and backend servers of the platform use. */
    public val headers: CallHeaders

    /** Returns a reader that sends its requests to the platform through [transport]. */
    public fun reader(
        transport: PlatformTransport,
        defaults: DocumentDefaults,
    ): PlatformReader
}

/** The values that a configuration document requires and a platform's configuration does not contain. */
public data class DocumentDefaults(
    public val settings: FleetSettings,
    /** The share of the slots that stays reserved for each rank while another rank is overloaded. */
    public val guaranteedShare: Double,
)

/**
 * Reads one platform.
 *
 * Each reading function sends only the requests that its own read needs, and throws no exception whatever the platform answers.
 */
public interface PlatformReader {
    /** Carries out [read] of what operators publish: the configuration and the evacuations. Both come from the same requests. */
    public suspend fun readOperatorData(read: SourceRead): PlatformReadResult<OperatorData>

    /** Reads all evacuations and nothing else, within [timeout]. The result has no configuration. */
    public suspend fun readEvacuations(timeout: Duration): PlatformReadResult<OperatorData>

    /** Returns the configuration in [bytes], which another node has read from the platform. */
    public fun decodeConfiguration(bytes: ByteArray): PublishedConfiguration

    /** Carries out [read] of the list of backend servers. */
    public suspend fun readServers(read: SourceRead): PlatformReadResult<List<ServerListChange>>
}

/** What one read found of the data that operators publish. */
public class OperatorData(
    /** The newest configuration, or null when the read found none. */
    public val configuration: PublishedConfiguration?,
    /** The evacuations that a complete read found, or their changes that a watch returned. */
    public val evacuations: List<EvacuationChange> = emptyList(),
    /** Whether a complete read listed every evacuation. Otherwise it withdraws none. */
    public val listsAllEvacuations: Boolean = true,
    /** The number of configurations in the answer of a watch that are older than [configuration]. */
    public val supersededConfigurations: Int = 0,
)

/** A configuration as the platform published it. */
public class PublishedConfiguration(
    /** The bytes as published. */
    public val bytes: ByteArray,
    /** The document in [bytes], or its faults. */
    public val document: Either<NonEmptyList<ConfigurationFault>, ConfigurationDocument>,
)

/** The result of one read of a platform. */
public sealed interface PlatformReadResult<out T> {
    /** The platform returned [value], which is its state at [revision] of the [era] that it states. */
    public data class Value<T>(
        public val value: T,
        public val revision: Long,
        public val era: StatedEra = StatedEra.Absent,
    ) : PlatformReadResult<T>

    /** The platform no longer has the history since the requested revision, so everything must be read again. */
    public data object HistoryGone : PlatformReadResult<Nothing>

    /** No valid answer because of [reason]. [retryAfter] is the time that the platform asked to wait before the next request. */
    public data class Unavailable(
        public val reason: String,
        public val retryAfter: Duration = Duration.ZERO,
    ) : PlatformReadResult<Nothing>
}

/** Sends HTTP requests to a platform. */
public fun interface PlatformTransport {
    /** Sends `GET` [target] and returns the response, or the reason why there is none within [timeout]. */
    public suspend fun get(
        target: String,
        timeout: Duration,
    ): PlatformCallResult
}

/** The result of one HTTP request to a platform. */
public sealed interface PlatformCallResult {
    /** A complete response. */
    public class Answered(
        public val status: Int,
        public val body: ByteArray,
        public val retryAfter: Duration,
        public val headers: List<HeaderField> = emptyList(),
    ) : PlatformCallResult

    /** No complete response because of [reason]. */
    public data class Failed(
        public val reason: String,
    ) : PlatformCallResult
}
