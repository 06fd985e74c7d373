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
 * An update about one member, as nodes gossip it. Its JSON keys are short because every message between nodes contains updates.
 *
 * Of two updates about one instance the one with the higher incarnation wins; within one incarnation the state that is later in the
 * order live, suspected, leaving, dead wins.
 */
@Serializable
public data class MemberUpdate(
    @SerialName("i") public val instance: InstanceName,
    @SerialName("n") public val start: Long,
    @SerialName("r") public val refutation: Int = 0,
    @SerialName("s") public val state: MemberState = MemberState.LIVE,
    /** The node whose own probes led to the suspicion; null in the other states. */
    @SerialName("b") public val suspectedBy: InstanceName? = null,
    /** The metadata of the member; null when the receiver most likely has it or does not need it. */
    @SerialName("p") public val metadata: MemberMetadata? = null,
) {
    public val incarnation: Incarnation get() = Incarnation(start, refutation)

    /** The approximate length of this update in JSON. */
    internal val estimatedBytes: Int
        get() {
            val metadataBytes = metadata?.let { METADATA_BYTES + it.service.value.length + it.dataCentre.value.length } ?: 0
            return BASE_BYTES + instance.value.length + (suspectedBy?.value?.length ?: 0) + metadataBytes
        }

    /** Returns whether this update replaces [other], an update about the same instance. */
    public fun isNewerThan(other: MemberUpdate): Boolean = isNewerThan(other.incarnation, other.state)

    internal fun isNewerThan(
        otherIncarnation: Incarnation,
        otherState: MemberState,
    ): Boolean {
        val byIncarnation = incarnation.compareTo(otherIncarnation)
        return byIncarnation > 0 || byIncarnation == 0 && state > otherState
    }

    private companion object {
        const val BASE_BYTES = 60
        const val METADATA_BYTES = 110
    }
}

/** The service, data centre and addresses of a member. */
@Serializable
public data class MemberMetadata(
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

internal val Member.metadata: MemberMetadata
    get() = MemberMetadata(service, dataCentre, controlAddress, frameAddress, serverAddress)

internal fun MemberMetadata.toMember(
    instance: InstanceName,
    incarnation: Incarnation,
    state: MemberState,
): Member = Member(instance, service, dataCentre, controlAddress, frameAddress, serverAddress, incarnation, state)
