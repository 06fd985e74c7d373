package org.celeryusher.kernel.execution

import java.util.HexFormat

/** Formats the halves of 128-bit identifiers. Each call logs several of them, for which `String.format` takes too long. */
internal val hexFormat: HexFormat = HexFormat.of()
