package org.celeryusher.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A way in which the platform's stand-in misbehaves. Several may be in force together. */
@Serializable
public sealed interface PlatformFault {
    /** Each call, and each waiting watch, is answered with 503. */
    @Serializable
    @SerialName("unavailable")
    public data object Unavailable : PlatformFault

    /** The port is closed: connections are refused, and those that are open break. */
    @Serializable
    @SerialName("connectionRefused")
    public data object ConnectionRefused : PlatformFault

    /** An older version is served as if it were the newest. */
    @Serializable
    @SerialName("stale")
    public data class Stale(
        public val versionsBehind: Int = 1,
    ) : PlatformFault

    /** Each answer is delayed. */
    @Serializable
    @SerialName("slow")
    public data class Slow(
        public val delayMilliseconds: Long,
    ) : PlatformFault

    /** Every second answer carries the version before the newest, even to a watch that waited for a newer one. */
    @Serializable
    @SerialName("crossed")
    public data object Crossed : PlatformFault

    /** A configuration answer ends after [keptShare] of the announced bytes. */
    @Serializable
    @SerialName("truncatedBody")
    public data class TruncatedBody(
        public val keptShare: Double = 0.5,
    ) : PlatformFault

    /** Changes of the instance list become visible later, in place of the lag given by the options. */
    @Serializable
    @SerialName("listLag")
    public data class ListLag(
        public val lagMilliseconds: Long,
    ) : PlatformFault
}
