package org.celeryusher.kernel.routing

import org.celeryusher.kernel.membership.Member

/** How [BackendServerChooser] sees one endpoint of a route, without choosing one. */
public data class EndpointAssessment(
    public val endpoint: Member,
    public val cost: EndpointCost,
    /** The weight with which the endpoint is drawn at random for a comparison of costs. */
    public val drawWeight: Double,
    /** Whether a first attempt may go to it. */
    public val isUsable: Boolean,
)
