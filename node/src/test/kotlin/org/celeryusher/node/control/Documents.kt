package org.celeryusher.node.control

/** Configuration documents of tests. */
internal object Documents {
    /** A valid document of [version], whose content differs with [deadline]; it has [routes] routes. */
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

    /** A document whose route names a service that it does not have. */
    fun faulty(version: Long): String = text(version).replace("\"service\":\"billing-desk\"", "\"service\":\"nowhere\"")
}
