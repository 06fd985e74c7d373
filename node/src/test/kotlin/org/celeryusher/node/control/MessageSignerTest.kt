package org.celeryusher.node.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class MessageSignerTest {
    private var wallMilliseconds = 1_000_000L
    private val body = "message".encodeToByteArray()

    private inner class Case(
        val name: String,
        val expected: SignatureFault?,
        val signature: MessageSignature?,
        val method: String = "POST",
        val path: String = "/control/gossip",
        val body: ByteArray = this@MessageSignerTest.body,
    )

    private fun signer(secret: String = "the secret of a fleet") = MessageSigner(secret) { wallMilliseconds }

    @Test
    fun onlyARecentUnmodifiedMessageOfTheFleetIsAccepted() {
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
            val found = signer().requestFaultOrNull(case.signature, case.method, case.path, case.body)
            assertEquals(case.expected, found, case.name)
        }
        assertEquals(SignatureFault.WRONG, signer().answerFaultOrNull(good, "/control/gossip", body), "as an answer")
        assertEquals(SignatureFault.WRONG, signer("the secret of another").requestFaultOrNull(good, "POST", "/control/gossip", body))
    }

    @Test
    fun outdatedAndReplayedMessagesAreRejected() {
        val good = signer().signRequest("POST", "/control/gossip", body)
        val receiver = signer()
        assertNull(receiver.requestFaultOrNull(good, "POST", "/control/gossip", body))
        assertEquals(SignatureFault.REPEATED, receiver.requestFaultOrNull(good, "POST", "/control/gossip", body))
        for (shift in listOf(60_001L, -60_001L)) {
            wallMilliseconds = 1_000_000 + shift
            assertEquals(SignatureFault.AGED, signer().requestFaultOrNull(good, "POST", "/control/gossip", body), "$shift")
        }
    }

    @Test
    fun anAnswerIsValidForItsOwnRequestOnly() {
        val answer = signer().signAnswer("one", body)
        assertNull(signer().answerFaultOrNull(answer, "one", body))
        assertEquals(SignatureFault.WRONG, signer().answerFaultOrNull(answer, "two", body))
    }
}
