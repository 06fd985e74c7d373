package org.celeryusher.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A fault that the platform stand-in simulates. Several faults may be active at the same time. */
@Serializable
public sealed interface PlatformFault {
    /** Every call is answered with 503, including pending watches. */
    @Serializable
    @SerialName("unavailable")
    public data object Unavailable : PlatformFault

    /** The port is closed: new connections are refused and open ones are broken. */
    @Serializable
    @SerialName("connectionRefused")
    public data object ConnectionRefused : PlatformFault

    /** A version that is [versionsBehind] publications old is served as the newest one. */
    @Serializable
    @SerialName("stale")
    public data class Stale(
        public val versionsBehind: Int = 1,
    ) : PlatformFault

    /** Every answer is delayed by [delayMilliseconds]. */
    @Serializable
    @SerialName("slow")
    public data class Slow(
        public val delayMilliseconds: Long,
    ) : PlatformFault

    /** Every second configuration answer contains the version before the newest one, even if a watch waited for a newer version. */
    @Serializable
    @SerialName("crossed")
    public data object AlternatingVersions : PlatformFault

    /** A configuration answer ends after the share [keptShare] (0 to 1) of the bytes declared by `Content-Length`. */
    @Serializable
    @SerialName("truncatedBody")
    public data class TruncatedBody(
        public val keptShare: Double = 0.5,
    ) : PlatformFault

    /** Changes of the instance list become visible after [lagMilliseconds], which replaces [PlatformOptions.instanceListLag]. */
    @Serializable
    @SerialName("listLag")
    public data class ListLag(
        public val lagMilliseconds: Long,
    ) : PlatformFault
}
