package org.celeryusher.kernel.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.InstanceName

/**
 * A message of an exchange between two nodes: the body of `POST /control/gossip` or of its answer.
 *
 * Every exchange is a probe with its acknowledgement, disseminates updates, and compares the two member lists by hash. The length of
 * all lists is limited by [MembershipSettings].
 */
@Serializable
public data class GossipMessage(
    /** The state of the sending node as it reports it itself, with its own incarnation. */
    @SerialName("from") public val sender: MemberUpdate,
    /** The hash of the sender's member list. If it differs from the receiver's, the lists are compared page by page. */
    @SerialName("hash") public val membersHash: Long,
    @SerialName("news") public val updates: List<MemberUpdate> = emptyList(),
    /** Asks the receiver to probe a member for the sender; a later message returns the result in [relayedResults]. */
    @SerialName("relay") public val relayRequest: RelayRequest? = null,
    @SerialName("relayed") public val relayedResults: List<RelayedResult> = emptyList(),
    @SerialName("page") public val page: MemberPage? = null,
    /** The payload that the runtime adds before it sends the message; [Membership] leaves it empty. */
    @SerialName("extra") public val payload: GossipPayload = GossipPayload(),
)

/** The payload that other parts of the node attach to every gossip message. */
@Serializable
public data class GossipPayload(
    public val configuration: ConfigurationDigest? = null,
    /** How long ago the platform last confirmed the sender's configuration, as far as the sender knows. */
    public val sourceAgeMilliseconds: Long? = null,
    /** The quarantined requests, which are refused fleet-wide, in the format that the quarantine defines. */
    public val quarantined: List<JsonElement> = emptyList(),
    /** The revision of the sender's copy of the platform's instance list. */
    public val instancesRevision: Long? = null,
    /** How long ago the platform last sent its instance list to any node, as far as the sender knows. */
    public val instancesAgeMilliseconds: Long? = null,
)

/** A request to probe [target], which did not answer the sender (the ping-req message of SWIM). */
@Serializable
public data class RelayRequest(
    public val target: InstanceName,
    @SerialName("place") public val metadata: MemberMetadata,
)

/** The result of a probe that the sender made for the receiver. */
@Serializable
public data class RelayedResult(
    public val target: InstanceName,
    public val answered: Boolean,
)

/**
 * A range of the member list: the members with names after [after] up to and including [through], in order of name.
 *
 * A null [after] means the beginning and a null [through] the end of the list. [hash] is the hash of the sender's members in the range.
 * The [entries] of a request are those that the receiver lacked in earlier pages; the [entries] of an answer are the whole range, or
 * empty if the hashes agree. The range of an answer may end before the requested one.
 */
@Serializable
public data class MemberPage(
    public val after: InstanceName? = null,
    public val through: InstanceName? = null,
    public val hash: Long,
    public val entries: List<MemberUpdate> = emptyList(),
)
