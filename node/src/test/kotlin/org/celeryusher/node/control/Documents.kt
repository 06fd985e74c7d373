package org.celeryusher.node.control

/** Configuration documents for tests. */
internal object Documents {
    /** Returns a valid document of [version] with [routes] routes and a default deadline of [deadline] milliseconds. */
    fun text(
        version: Long,
        deadline: Long = 2_000,
        routes: Int = 1,
    ): String {
        val routeList =
            (1..routes).joinToString {
                """{"name":"r$it","method":"GET","pathPrefix":"/r$it","service":"billing-desk","rank":"lookups","idempotent":true}"""
            }
        return """
            {"version":$version,"defaults":{"deadlineMilliseconds":$deadline},"ranks":[{"name":"lookups","guaranteedShare":0.5}],
             "services":[{"name":"billing-desk","slots":6,"connections":130}],"routes":[$routeList]}
            """.trimIndent()
    }

    /** Returns an invalid document, whose route names a service that the document does not define. */
    fun invalid(version: Long): String = text(version).replace("\"service\":\"billing-desk\"", "\"service\":\"nowhere\"")
}
