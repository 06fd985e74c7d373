package org.celeryusher.node.settings

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import org.celeryusher.kernel.identity.Address

/** Serializes an [Address] as text such as `10.2.0.7:7400`. */
internal object AddressTextSerializer : KSerializer<Address> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("org.celeryusher.AddressText", PrimitiveKind.STRING)

    override fun deserialize(decoder: Decoder): Address {
        val text = decoder.decodeString()
        return Address.parseOrNull(text) ?: throw SerializationException("\"$text\" is not an IP address and a port such as 10.2.0.7:7400")
    }

    override fun serialize(
        encoder: Encoder,
        value: Address,
    ) {
        encoder.encodeString(value.toString())
    }
}
