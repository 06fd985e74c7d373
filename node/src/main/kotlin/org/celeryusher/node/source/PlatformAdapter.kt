package org.celeryusher.node.source

import arrow.core.Either
import arrow.core.NonEmptyList
import org.celeryusher.kernel.configuration.ConfigurationDocument
import org.celeryusher.kernel.configuration.ConfigurationFault
import org.celeryusher.kernel.configuration.FleetSettings
import org.celeryusher.kernel.membership.ServerListChange
import org.celeryusher.node.call.CallHeaders
import kotlin.time.Duration

/**
 * Translates between celeryusher and one kind of platform: names, formats and calls, and nothing that decides.
 *
 * Adapters register themselves as `java.util.ServiceLoader` providers; the settings of a node name the one to use.
 */
public interface PlatformAdapter {
    /** The word that selects this adapter in the settings. */
    public val name: String

    /** The header fields that callers and backend servers of the platform use. */
    public val headers: CallHeaders

    /** Returns a reader of the platform that makes its calls through [transport]. */
    public fun reader(
        transport: PlatformTransport,
        defaults: DocumentDefaults,
    ): PlatformReader
}

/** What a platform's configuration does not state and a document must have. */
public data class DocumentDefaults(
    public val settings: FleetSettings,
    /** The share of the slots that each rank keeps during a flood of another. */
    public val guaranteedShare: Double,
)

/** Reads one platform. Each function makes at most the calls that its name says, and never throws for what the platform answers. */
public interface PlatformReader {
    /** Reads the newest configuration. */
    public suspend fun readConfiguration(): PlatformReading<PublishedConfiguration?>

    /** Waits up to [wait] for a configuration that was written after [revision]; null when there is none. */
    public suspend fun awaitConfiguration(
        revision: Long,
        wait: Duration,
    ): PlatformReading<PublishedConfiguration?>

    /** Reads the whole list of backend servers. */
    public suspend fun readServers(): PlatformReading<List<ServerListChange>>

    /** Waits up to [wait] for changes of the list after [revision]. */
    public suspend fun awaitServers(
        revision: Long,
        wait: Duration,
    ): PlatformReading<List<ServerListChange>>
}

/** One configuration as the platform published it. */
public class PublishedConfiguration(
    /** The bytes as published. */
    public val bytes: ByteArray,
    /** The document that they say, or what is wrong with them. */
    public val document: Either<NonEmptyList<ConfigurationFault>, ConfigurationDocument>,
)

/** What came of one read of a platform. */
public sealed interface PlatformReading<out T> {
    /** The platform answered [value], which was true at its [revision]. */
    public data class Value<T>(
        public val value: T,
        public val revision: Long,
    ) : PlatformReading<T>

    /** The platform no longer knows what changed since the revision that was named; all has to be read anew. */
    public data object HistoryGone : PlatformReading<Nothing>

    /** No usable answer; [reason] says why, and [retryAfter] is the time that the platform asked to be left alone. */
    public data class Unavailable(
        public val reason: String,
        public val retryAfter: Duration = Duration.ZERO,
    ) : PlatformReading<Nothing>
}

/** Makes HTTP calls to a platform. */
public fun interface PlatformTransport {
    /** Sends `GET` [target] and returns its answer within [timeout], or why there is none. */
    public suspend fun get(
        target: String,
        timeout: Duration,
    ): PlatformCall
}

/** What came of one HTTP call to a platform. */
public sealed interface PlatformCall {
    /** A whole answer. */
    public class Answered(
        public val status: Int,
        public val body: ByteArray,
        public val retryAfter: Duration,
    ) : PlatformCall

    /** No whole answer. */
    public data class Failed(
        public val reason: String,
    ) : PlatformCall
}
