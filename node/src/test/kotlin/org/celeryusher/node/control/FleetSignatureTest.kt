package org.celeryusher.node.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class FleetSignatureTest {
    private var wallMilliseconds = 1_000_000L
    private val body = "news".encodeToByteArray()

    private inner class Case(
        val name: String,
        val expected: SignatureFault?,
        val signature: MessageSignature?,
        val method: String = "POST",
        val path: String = "/control/gossip",
        val body: ByteArray = this@FleetSignatureTest.body,
    )

    private fun signer(secret: String = "the secret of a fleet") = FleetSignature(secret) { wallMilliseconds }

    @Test
    fun onlyAFreshUnchangedMessageOfTheFleetIsAccepted() {
        val good = signer().signRequest("POST", "/control/gossip", body)
        val cases =
            listOf(
                Case("as sent", null, good),
                Case("no signature", SignatureFault.MISSING, null),
                Case("other body", SignatureFault.WRONG, good, body = body + 1),
                Case("other path", SignatureFault.WRONG, good, path = "/control/instances"),
                Case("other method", SignatureFault.WRONG, good, method = "GET"),
                Case("other time", SignatureFault.WRONG, good.copy(wallMilliseconds = "1000001")),
                Case("no time", SignatureFault.MISSING, good.copy(wallMilliseconds = "now")),
                Case("other nonce", SignatureFault.WRONG, good.copy(nonce = "00")),
            )
        for (case in cases) {
            val found = signer().faultOfRequest(case.signature, case.method, case.path, case.body)
            assertEquals(case.expected, found, case.name)
        }
        assertEquals(SignatureFault.WRONG, signer().faultOfAnswer(good, "/control/gossip", body), "as an answer")
        assertEquals(SignatureFault.WRONG, signer("the secret of another").faultOfRequest(good, "POST", "/control/gossip", body))
    }

    @Test
    fun agedAndRepeatedMessagesAreRefused() {
        val good = signer().signRequest("POST", "/control/gossip", body)
        val receiver = signer()
        assertNull(receiver.faultOfRequest(good, "POST", "/control/gossip", body))
        assertEquals(SignatureFault.REPEATED, receiver.faultOfRequest(good, "POST", "/control/gossip", body))
        for (shift in listOf(60_001L, -60_001L)) {
            wallMilliseconds = 1_000_000 + shift
            assertEquals(SignatureFault.AGED, signer().faultOfRequest(good, "POST", "/control/gossip", body), "$shift")
        }
    }

    @Test
    fun anAnswerFitsItsOwnRequestOnly() {
        val answer = signer().signAnswer("one", body)
        assertNull(signer().faultOfAnswer(answer, "one", body))
        assertEquals(SignatureFault.WRONG, signer().faultOfAnswer(answer, "two", body))
    }
}
