package org.celeryusher.kernel.configuration

import org.celeryusher.kernel.identity.RouteName
import java.nio.file.Path
import kotlin.io.path.readBytes
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against example documents that a change of the schema or the rules makes invalid. */
class ExampleDocumentsTest {
    private data class Example(
        val file: String,
        val services: Set<String>,
        val connections: Int,
        val nonIdempotentRoutes: Set<String>,
    )

    @Test
    fun exampleDocumentsAreValid() {
        val examples =
            listOf(
                Example("antwerp.json", setOf("billing-desk", "records-hub"), 130, setOf("collections", "invoice-issuance")),
                Example("sierra.json", setOf("reservas", "catalogo"), 120, setOf("bookings")),
            )
        for (example in examples) {
            val path = Path.of(System.getProperty("basedir", "."), "..", "examples", example.file)
            val document = SampleDocuments.snapshot(path.readBytes().decodeToString()).document
            assertEquals(example.services, document.services.map { it.name.value }.toSet())
            assertTrue(document.services.all { it.slots == 6 && it.connections == example.connections }, example.file)
            assertEquals(
                example.nonIdempotentRoutes.map(::RouteName).toSet(),
                document.routes
                    .filterNot { it.idempotent }
                    .map { it.name }
                    .toSet(),
            )
            assertTrue(document.exceptions.isNotEmpty(), example.file)
        }
    }
}
