package org.celeryusher.standin.fleet

import arrow.core.getOrElse
import org.celeryusher.kernel.configuration.ConfigurationDocument
import org.celeryusher.kernel.configuration.ConfigurationParser
import org.celeryusher.kernel.identity.DataCentreName
import org.celeryusher.kernel.identity.RankName
import org.celeryusher.kernel.identity.ServiceName
import org.celeryusher.standin.server.BackendServerProfile
import org.celeryusher.standin.server.PathServiceTime
import org.celeryusher.standin.server.ServiceTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A service of a deployment, its number of backend servers and the connection limit of each of them. */
public data class ServiceShape(
    public val service: ServiceName,
    public val servers: Int,
    public val connections: Int,
)

/** A kind of call in the load of a deployment, with its rate, the mean service time of its work and its deadline. */
public data class CallShape(
    public val rank: RankName,
    public val method: String,
    public val path: String,
    public val idempotent: Boolean,
    public val callsPerSecond: Double,
    public val serviceTime: Duration,
    public val deadline: Duration,
)

/** The size of a deployment, its configuration document and its regular load. */
public data class DeploymentShape(
    public val name: String,
    public val dataCentres: List<DataCentreName>,
    public val services: List<ServiceShape>,
    public val calls: List<CallShape>,
    /** The path whose work is not idempotent and must run at most once. */
    public val nonIdempotentPath: String,
    public val probeDuration: Duration,
    public val document: ConfigurationDocument,
) {
    /** Number of instances of the deployment. */
    public val instances: Int get() = services.sumOf(ServiceShape::servers)

    /** Returns the profile of a backend server of [service]. Each server needs its own [seed]. */
    public fun profileOf(
        service: ServiceShape,
        seed: Long,
    ): BackendServerProfile =
        BackendServerProfile(
            connections = service.connections,
            probeDuration = probeDuration,
            serviceTimes = calls.map { PathServiceTime(it.path, ServiceTime.Exponential(it.serviceTime, it.serviceTime * LONGEST_FACTOR)) },
            seed = seed,
        )

    /**
     * Returns this deployment scaled to [count] instances, in about the same proportions.
     *
     * [count] must not be less than the number of services.
     */
    public fun scaledTo(count: Int): DeploymentShape {
        val factor = count.toDouble() / instances
        val scaled = services.map { it.copy(servers = (it.servers * factor).toInt().coerceAtLeast(1)) }
        val missing = count - scaled.sumOf(ServiceShape::servers)
        val first = scaled.first()
        return copy(services = listOf(first.copy(servers = first.servers + missing)) + scaled.drop(1))
    }

    public companion object {
        private const val LONGEST_FACTOR = 4

        /** The deployment Antwerp: the services billing-desk and records-hub in four data centres. */
        public val ANTWERP: DeploymentShape by lazy {
            DeploymentShape(
                name = "antwerp",
                dataCentres = (1..4).map { DataCentreName("antwerp-$it") },
                services =
                    listOf(
                        ServiceShape(ServiceName("billing-desk"), servers = 9, connections = 130),
                        ServiceShape(ServiceName("records-hub"), servers = 4, connections = 130),
                    ),
                calls =
                    listOf(
                        CallShape(RankName("collections"), "POST", "/collections", false, 10.0, 30.milliseconds, 5.seconds),
                        CallShape(RankName("lookups"), "GET", "/readings", true, 60.0, 10.milliseconds, 2.seconds),
                        CallShape(RankName("tariffs"), "GET", "/tariffs", true, 30.0, 5.milliseconds, 1.seconds),
                        CallShape(RankName("archives"), "GET", "/archives", true, 10.0, 150.milliseconds, 30.seconds),
                    ),
                nonIdempotentPath = "/collections",
                probeDuration = 6.milliseconds,
                document = exampleDocument("antwerp"),
            )
        }

        /** The deployment Sierra: the services reservas and catalogo in four data centres. */
        public val SIERRA: DeploymentShape by lazy {
            DeploymentShape(
                name = "sierra",
                dataCentres = (1..4).map { DataCentreName("sierra-$it") },
                services =
                    listOf(
                        ServiceShape(ServiceName("reservas"), servers = 8, connections = 120),
                        ServiceShape(ServiceName("catalogo"), servers = 4, connections = 120),
                    ),
                calls =
                    listOf(
                        CallShape(RankName("bookings"), "POST", "/bookings", false, 10.0, 30.milliseconds, 5.seconds),
                        CallShape(RankName("lookups"), "GET", "/cloths", true, 60.0, 10.milliseconds, 3.seconds),
                        CallShape(RankName("catalogues"), "GET", "/catalogue", true, 10.0, 150.milliseconds, 15.seconds),
                        CallShape(RankName("stock"), "GET", "/stock", true, 30.0, 5.milliseconds, 3.seconds),
                    ),
                nonIdempotentPath = "/bookings",
                probeDuration = Duration.ZERO,
                document = exampleDocument("sierra"),
            )
        }

        /** Returns the deployment with the given [name], or null if there is none. */
        public fun named(name: String): DeploymentShape? =
            when (name) {
                "antwerp" -> ANTWERP
                "sierra" -> SIERRA
                else -> null
            }

        private fun exampleDocument(name: String): ConfigurationDocument {
            val resource = "/examples/$name.json"
            val bytes = checkNotNull(DeploymentShape::class.java.getResourceAsStream(resource)) { "$resource is not packaged" }.readBytes()
            return ConfigurationParser.parse(bytes).getOrElse { faults -> error("$resource: ${faults.joinToString("; ")}") }.document
        }
    }
}
