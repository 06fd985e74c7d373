package org.celeryusher.kernel.configuration

import kotlin.test.fail

/** A small valid document, and snapshots parsed from valid texts. */
internal object SampleDocuments {
    val TEXT: String =
        """
        {"version":5,
         "defaults":{"deadlineMilliseconds":2000},
         "ranks":[{"name":"urgent","guaranteedShare":0.5},{"name":"slow","guaranteedShare":0.25}],
         "services":[{"name":"desk","slots":6,"connections":130},{"name":"hub","slots":4,"connections":20}],
         "routes":[
          {"name":"read","method":"GET","pathPrefix":"/read","service":"desk","rank":"urgent","idempotent":true},
          {"name":"pull","method":"GET","pathPrefix":"/pull","service":"hub","rank":"slow","idempotent":true,
           "settings":{"deadlineMilliseconds":9000}}],
         "exceptions":[
          {"name":"east","scope":{"dataCentre":"east"},"change":{"maximumAttempts":2},"reason":"A thin line."},
          {"name":"pull-east","scope":{"dataCentre":"east","route":"pull"},"change":{"deadlineMilliseconds":12000},"reason":"A slow line."}]}
        """.trimIndent()

    fun snapshot(text: String): ConfigurationSnapshot =
        ConfigurationParser.parse(text.encodeToByteArray()).fold({ fail("refused: ${it.joinToString()}") }, { it })

    /** Returns a document of [version] whose content depends on [deadline]. A [deadline] of 0 makes it invalid. */
    fun text(
        version: Long,
        deadline: Long = 2_000,
    ): String = TEXT.replace("\"version\":5", "\"version\":$version").replace(":2000}", ":$deadline}")

    fun snapshot(
        version: Long,
        deadline: Long = 2_000,
    ): ConfigurationSnapshot = snapshot(text(version, deadline))
}
