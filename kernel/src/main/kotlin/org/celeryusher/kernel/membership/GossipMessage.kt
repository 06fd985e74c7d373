package org.celeryusher.kernel.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.celeryusher.kernel.configuration.ConfigurationDigest
import org.celeryusher.kernel.identity.InstanceName

/**
 * Both halves of an exchange between two nodes: the body of `POST /control/gossip` and of its answer.
 *
 * Every exchange is a probe with its acknowledgement, spreads news, and compares the two member lists by hash. All lists are bounded
 * by [MembershipSettings].
 */
@Serializable
public data class GossipMessage(
    /** The sending node as it describes itself: live or leaving, with its own incarnation. */
    @SerialName("from") public val sender: MemberNews,
    /** The hash of the sender's member list. Unequal hashes lead to a comparison page by page. */
    @SerialName("hash") public val membersHash: Long,
    @SerialName("news") public val news: List<MemberNews> = emptyList(),
    /** Asks the receiver to probe a member for the sender; the result comes in a later message, in [relayedResults]. */
    @SerialName("relay") public val relayRequest: RelayRequest? = null,
    @SerialName("relayed") public val relayedResults: List<RelayedResult> = emptyList(),
    @SerialName("page") public val page: MemberPage? = null,
    /** Left at its default by [Membership]; the runtime fills it in before it sends. */
    @SerialName("extra") public val extra: GossipExtra = GossipExtra(),
)

/** What other parts of the node send along with every message between nodes. */
@Serializable
public data class GossipExtra(
    public val configuration: ConfigurationDigest? = null,
    /** How long ago the platform last confirmed the sender's configuration, to the sender's knowledge. */
    public val sourceAgeMilliseconds: Long? = null,
    /** Requests refused fleet-wide, in the form that their owner defines. */
    public val quarantined: List<JsonElement> = emptyList(),
    /** The revision of the platform's instance list that the sender holds. */
    public val instancesRevision: Long? = null,
    /** How long ago the platform last gave its instance list to any node of which the sender has heard. */
    public val instancesAgeMilliseconds: Long? = null,
)

/** Asks for a probe of [target], which the sender cannot reach itself. */
@Serializable
public data class RelayRequest(
    public val target: InstanceName,
    public val place: MemberPlace,
)

/** The result of a probe made for another node. */
@Serializable
public data class RelayedResult(
    public val target: InstanceName,
    public val answered: Boolean,
)

/**
 * A part of the member list: the members with names after [after] up to and including [through], in order of name.
 *
 * A null [after] stands for the beginning and a null [through] for the end. [hash] is that of the sender's members in the range.
 * A request's [entries] are what the receiver was found to lack in earlier pages; an answer's are the whole range, or empty when the
 * hashes agree. An answer may end its range earlier than asked.
 */
@Serializable
public data class MemberPage(
    public val after: InstanceName? = null,
    public val through: InstanceName? = null,
    public val hash: Long,
    public val entries: List<MemberNews> = emptyList(),
)
