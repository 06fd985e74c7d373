package org.celeryusher.kernel.routing

import org.celeryusher.kernel.identity.InstanceName
import org.celeryusher.kernel.membership.Member

/** The result of choosing an endpoint for a call, with the details for the decision log. */
public sealed interface EndpointChoice {
    /** The call is sent to [endpoint]. */
    public data class Chosen(
        public val endpoint: Member,
        public val cost: EndpointCost,
        public val reason: ChoiceReason,
        /** The endpoints that were considered but not chosen. */
        public val passedOver: List<Candidate>,
        /** The endpoints that were excluded as outliers. */
        public val ejected: List<InstanceName>,
    ) : EndpointChoice

    /** All endpoints of the route have been tried. */
    public data object NoneLeft : EndpointChoice
}

/** An endpoint with the expected cost of a call to it. */
public data class Candidate(
    public val endpoint: Member,
    public val cost: EndpointCost,
)

/** Why an endpoint was chosen. */
public enum class ChoiceReason {
    /** There was no other endpoint to choose from. */
    ONLY_CANDIDATE,

    /** Of two random endpoints, both local or both remote, it has the shorter expected time. */
    SOONER_OF_TWO,

    /** Its expected time, including network round trip and transfer cost, is shorter than that of local endpoints. */
    OTHER_DATA_CENTRE,

    /** The own data centre has no usable endpoint. */
    NONE_IN_OWN_DATA_CENTRE,
}
