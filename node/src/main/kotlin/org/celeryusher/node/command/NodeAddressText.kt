package org.celeryusher.node.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celeryusher.kernel.identity.Address

/** Returns the address in [text], or an error message that quotes [text]. */
internal fun parseNodeAddress(text: String): Either<String, Address> =
    Address.parseOrNull(text)?.right() ?: "--node: \"${printableLine(text)}\" is not HOST:PORT such as 127.0.0.1:7403".left()
