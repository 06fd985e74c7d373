package org.celeryusher.kernel.configuration

import kotlinx.serialization.json.JsonPrimitive

/** Validates the rules that the schema does not cover: value ranges, names, references and conflicting exceptions. */
internal class DocumentValidator(
    private val document: PartialDocument,
    private val faults: FaultCollector,
) {
    private val serviceNames = document.services?.mapNotNullTo(mutableSetOf()) { it.name }
    private val rankNames = document.ranks?.mapNotNullTo(mutableSetOf()) { it.name }
    private val routeNames = document.routes?.mapNotNullTo(mutableSetOf()) { it.name }

    /** The changes of settings without a fault. Most routes share a few, and converting one to pairs of name and value is slow. */
    private val validChanges = HashSet<SettingsChange>()

    /** Reports every rule that the document violates. */
    fun validate() {
        checkVersion()
        document.defaults?.let { SettingLimits.check(SettingLimits.valuesOf(it), JsonPath.ROOT.member("defaults"), faults) }
        checkEntries("ranks", document.ranks, ::checkRank)
        checkGuaranteedShares()
        checkEntries("services", document.services, ::checkService)
        checkEntries("routes", document.routes, ::checkRoute)
        checkDuplicatePrefixes()
        checkEntries("exceptions", document.exceptions, ::checkException)
        checkConflictingExceptions()
        document.callers?.let(::checkCallerLimits)
    }

    private fun checkCallerLimits(limits: CallerLimits) {
        val path = JsonPath.ROOT.member("callers")
        listOf(
            "maximumHeaderBytes" to limits.maximumHeaderBytes.toLong(),
            "maximumBodyBytes" to limits.maximumBodyBytes.toLong(),
            "headerTimeoutMilliseconds" to limits.headerTimeoutMilliseconds,
            "idleTimeoutMilliseconds" to limits.idleTimeoutMilliseconds,
        ).filter { (_, value) -> value < 1 }
            .forEach { (name, value) -> faults.add(path.member(name), JsonPrimitive(value), "must be 1 or more") }
    }

    private fun checkVersion() {
        val version = document.version ?: return
        if (version < 1) faults.add(JsonPath.ROOT.member("version"), JsonPrimitive(version), "must be 1 or more")
    }

    private fun <T : Any> checkEntries(
        list: String,
        entries: List<PartialEntry<T>>?,
        checkValue: (JsonPath, T) -> Unit,
    ) {
        if (entries == null) return
        if (entries.isEmpty() && list != "exceptions") faults.addVerbatim(JsonPath.ROOT.member(list), "[]", "must have at least one entry")
        val names = mutableSetOf<String>()
        for (entry in entries) {
            entry.name?.let { checkName(entry.path, "name", it) }
            if (entry.name != null && !names.add(entry.name)) {
                faults.add(entry.path.member("name"), entry.name, "is a duplicate name in ${JsonPath.ROOT.member(list)}")
            }
            entry.value?.let { checkValue(entry.path, it) }
        }
    }

    // The path of a member is built for a fault only: it takes longer than the check.
    private fun checkName(
        parent: JsonPath,
        member: String,
        name: String,
    ) {
        if (!DocumentNames.isName(name)) {
            faults.add(
                parent.member(member),
                name,
                "must be 1 to 63 letters, digits, dots, underscores or hyphens, and start with a letter or digit",
            )
        }
    }

    private fun checkRank(
        path: JsonPath,
        rank: RankDeclaration,
    ) {
        if (rank.guaranteedShare !in 0.0..1.0) {
            faults.add(path.member("guaranteedShare"), JsonPrimitive(rank.guaranteedShare), "must be between 0 and 1")
        }
    }

    private fun checkGuaranteedShares() {
        val sum = document.ranks?.sumOf { it.value?.guaranteedShare ?: 0.0 } ?: return
        if (sum > 1.0 + SHARE_TOLERANCE) {
            faults.add(JsonPath.ROOT.member("ranks"), JsonPrimitive(sum), "the guaranteed shares add up to more than 1")
        }
    }

    private fun isPath(text: String): Boolean = text.startsWith("/") && text.all { it in '!'..'~' }

    private fun checkService(
        path: JsonPath,
        service: ServiceDeclaration,
    ) {
        val slots = service.slots
        if (slots != null && slots !in 1..MAXIMUM_SLOTS) {
            faults.add(path.member("slots"), JsonPrimitive(slots), "must be between 1 and $MAXIMUM_SLOTS")
        }
        if (service.connections !in 1..MAXIMUM_CONNECTIONS) {
            faults.add(path.member("connections"), JsonPrimitive(service.connections), "must be between 1 and $MAXIMUM_CONNECTIONS")
        } else if (slots != null && service.connections < slots) {
            faults.add(path.member("connections"), JsonPrimitive(service.connections), "must not be less than the number of slots, $slots")
        }
        if ((service.coldStartMilliseconds ?: 0) < 0) {
            faults.add(path.member("coldStartMilliseconds"), JsonPrimitive(service.coldStartMilliseconds), "must not be negative")
        }
        if (service.coldCallsPerSecond?.let { it >= 0.0 && it.isFinite() } == false) {
            faults.add(path.member("coldCallsPerSecond"), JsonPrimitive(service.coldCallsPerSecond), "must be a number from 0")
        }
        if (service.healthPath?.let(::isPath) == false) {
            faults.add(path.member("healthPath"), JsonPrimitive(service.healthPath), "must begin with / and have no space")
        }
    }

    private fun checkRoute(
        path: JsonPath,
        route: RouteDeclaration,
    ) {
        if (route.method !in METHODS) faults.add(path.member("method"), route.method, "must be one of ${METHODS.joinToString()}")
        route.host
            ?.takeUnless(DocumentNames::isHost)
            ?.let { faults.add(path.member("host"), it, "must be a lower-case host name without a port") }
        prefixFault(route.pathPrefix)?.let { faults.add(path.member("pathPrefix"), route.pathPrefix, it) }
        checkReference(path, route.service.value, serviceNames, "service")
        checkReference(path, route.rank.value, rankNames, "rank")
        checkSettings(path, route.settings)
        if (route.split.isNotEmpty()) checkSplit(path.member("split"), route)
        route.allowedRegions.forEach { checkName(path, "allowedRegions", it.value) }
    }

    private fun checkSettings(
        path: JsonPath,
        change: SettingsChange,
    ) {
        if (change in validChanges) return
        val values = SettingLimits.valuesOf(change)
        if (SettingLimits.isWithin(values)) validChanges += change else SettingLimits.check(values, path.member("settings"), faults)
    }

    private fun checkSplit(
        path: JsonPath,
        route: RouteDeclaration,
    ) {
        route.split.forEachIndexed { index, share ->
            checkReference(path.element(index), share.service.value, serviceNames, "service")
            if (share.weight < 0) faults.add(path.element(index).member("weight"), JsonPrimitive(share.weight), "must not be negative")
        }
        if (route.split.sumOf { it.weight.toLong() } == 0L) faults.addVerbatim(path, "0", "the weights must not all be 0")
        if (route.split.distinctBy { it.service }.size < route.split.size) faults.addVerbatim(path, "split", "repeats a service")
        if (route.split.first().service != route.service) {
            faults.add(
                path.element(0).member("service"),
                route.split
                    .first()
                    .service.value,
                "must be the route's service ${route.service}",
            )
        }
    }

    private fun prefixFault(prefix: String): String? =
        when {
            prefix.length > MAXIMUM_PREFIX_CHARACTERS -> "must be at most $MAXIMUM_PREFIX_CHARACTERS characters"
            !DocumentNames.isPathPrefix(prefix) -> "must be / or a path such as /invoices/open, without a query or spaces"
            "/." in prefix && prefix.split('/').any { it == "." || it == ".." } -> "must not contain the segments . or .."
            prefix == NODE_PATH || prefix.startsWith("$NODE_PATH/") -> "must not start with $NODE_PATH, which is reserved for the nodes"
            else -> null
        }

    private fun checkDuplicatePrefixes() {
        val seen = mutableMapOf<Triple<String?, String, String>, String?>()
        for (entry in document.routes.orEmpty()) {
            val route = entry.value ?: continue
            val key = Triple(route.host, route.method, route.pathPrefix)
            if (key in seen) {
                val path = entry.path.member("pathPrefix")
                faults.add(path, route.pathPrefix, "the route ${seen[key]} already matches ${route.method} with this prefix")
            } else {
                seen[key] = entry.name
            }
        }
    }

    private fun checkException(
        path: JsonPath,
        exception: FleetException,
    ) {
        checkReason(path.member("reason"), exception.reason)
        checkScope(path.member("scope"), exception.scope)
        val change = SettingLimits.valuesOf(exception.change)
        if (change.isEmpty()) {
            faults.addVerbatim(
                path.member("change"),
                "{}",
                "must set at least one of ${SettingLimits.NAMES.joinToString()}",
            )
        }
        SettingLimits.check(change, path.member("change"), faults)
    }

    private fun checkReason(
        path: JsonPath,
        reason: String,
    ) {
        if (reason.isBlank()) faults.add(path, reason, "must state the reason for the exception")
        if (reason.length > MAXIMUM_REASON_CHARACTERS) faults.add(path, reason, "must be at most $MAXIMUM_REASON_CHARACTERS characters")
    }

    private fun checkScope(
        path: JsonPath,
        scope: ExceptionScope,
    ) {
        if (scope == ExceptionScope()) {
            faults.addVerbatim(
                path,
                "{}",
                "must set at least one of dataCentre, service, instance, route; for the whole fleet, change the defaults",
            )
        }
        scope.dataCentre?.let { checkName(path, "dataCentre", it.value) }
        scope.instance?.let { checkName(path, "instance", it.value) }
        scope.service?.let { checkReference(path, it.value, serviceNames, "service") }
        scope.route?.let { checkReference(path, it.value, routeNames, "route") }
    }

    /** Reports the member [kind] of the object at [parent] if the document does not declare [name]. */
    private fun checkReference(
        parent: JsonPath,
        name: String,
        declared: Set<String>?,
        kind: String,
    ) {
        if (declared != null && name !in declared) faults.add(parent.member(kind), name, "is not a $kind declared in this document")
    }

    /** Reports settings that two exceptions with the same scope both set: their specificity is equal, so neither takes precedence. */
    private fun checkConflictingExceptions() {
        val setBy = mutableMapOf<Pair<ExceptionScope, String>, String>()
        for (entry in document.exceptions.orEmpty()) {
            val exception = entry.value ?: continue
            for ((name, value) in SettingLimits.valuesOf(exception.change)) {
                val earlier = setBy.putIfAbsent(exception.scope to name, exception.name) ?: continue
                faults.add(entry.path.member("change").member(name), value, "the exception $earlier sets this for the same scope")
            }
        }
    }

    private companion object {
        const val SHARE_TOLERANCE = 1e-9
        const val MAXIMUM_SLOTS = 10_000
        const val MAXIMUM_CONNECTIONS = 1_000_000
        const val MAXIMUM_PREFIX_CHARACTERS = 256
        const val MAXIMUM_REASON_CHARACTERS = 1_000
        const val NODE_PATH = "/-"
        val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", RouteDeclaration.ANY_METHOD)
    }
}
