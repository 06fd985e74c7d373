package org.celeryusher.kernel.membership

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.celeryusher.kernel.identity.Address
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.Incarnation
import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.identity.ServiceName

/**
 * What one node tells another about one member, in short keys because every message between nodes carries some.
 *
 * Of two pieces of news about one instance the one with the higher incarnation counts; within one incarnation the state that is
 * later in the order live, suspected, leaving, dead counts.
 */
@Serializable
public data class MemberNews(
    @SerialName("i") public val instance: InstanceName,
    @SerialName("n") public val start: Long,
    @SerialName("r") public val refutation: Int = 0,
    @SerialName("s") public val state: MemberState = MemberState.LIVE,
    /** The node whose own probes led to a suspicion; null for the other states. */
    @SerialName("b") public val suspectedBy: InstanceName? = null,
    /** Where the member is; left out where the receiver most likely knows it or need not know. */
    @SerialName("p") public val place: MemberPlace? = null,
) {
    public val incarnation: Incarnation get() = Incarnation(start, refutation)

    /** Roughly the length of this news in JSON. */
    internal val estimatedBytes: Int
        get() {
            val placed = place?.let { PLACE_BYTES + it.service.value.length + it.dataCentre.value.length } ?: 0
            return BARE_BYTES + instance.value.length + (suspectedBy?.value?.length ?: 0) + placed
        }

    /** Returns whether this news replaces [other] about the same instance. */
    public fun isNewerThan(other: MemberNews): Boolean = isNewerThan(other.incarnation, other.state)

    internal fun isNewerThan(
        otherIncarnation: Incarnation,
        otherState: MemberState,
    ): Boolean {
        val byIncarnation = incarnation.compareTo(otherIncarnation)
        return byIncarnation > 0 || byIncarnation == 0 && state > otherState
    }

    private companion object {
        const val BARE_BYTES = 60
        const val PLACE_BYTES = 110
    }
}

/** The service, data centre and addresses of a member. */
@Serializable
public data class MemberPlace(
    @SerialName("s") public val service: ServiceName,
    @SerialName("d") public val dataCentre: DataCentreName,
    @Serializable(CompactAddressSerializer::class)
    @SerialName("c")
    public val controlAddress: Address,
    @Serializable(CompactAddressSerializer::class)
    @SerialName("f")
    public val frameAddress: Address,
    @Serializable(CompactAddressSerializer::class)
    @SerialName("b")
    public val serverAddress: Address,
)

/** Writes an [Address] as one `host:port` string. */
public object CompactAddressSerializer : KSerializer<Address> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("org.celeryusher.CompactAddress", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: Address,
    ): Unit = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): Address {
        val text = decoder.decodeString()
        return Address.parseOrNull(text) ?: throw SerializationException("\"$text\" is not an address (host:port)")
    }
}

internal val Member.place: MemberPlace
    get() = MemberPlace(service, dataCentre, controlAddress, frameAddress, serverAddress)

internal fun MemberPlace.toMember(
    instance: InstanceName,
    incarnation: Incarnation,
    state: MemberState,
): Member = Member(instance, service, dataCentre, controlAddress, frameAddress, serverAddress, incarnation, state)
