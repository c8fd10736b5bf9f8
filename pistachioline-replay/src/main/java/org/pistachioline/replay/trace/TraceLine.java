package org.pistachioline.replay.trace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One line of a trace.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({ @JsonSubTypes.Type(value = HeaderLine.class, name = "header"),
		@JsonSubTypes.Type(value = ModelLine.class, name = "model"),
		@JsonSubTypes.Type(value = ServiceLine.class, name = "service"),
		@JsonSubTypes.Type(value = WorkspaceLine.class, name = "workspace"),
		@JsonSubTypes.Type(value = PoissonLine.class, name = "poisson"),
		@JsonSubTypes.Type(value = ArrivalLine.class, name = "arrival"),
		@JsonSubTypes.Type(value = FaultLine.class, name = "fault"),
		@JsonSubTypes.Type(value = OutcomeLine.class, name = "outcome") })
public sealed interface TraceLine
		permits HeaderLine, ModelLine, ServiceLine, WorkspaceLine, PoissonLine, ArrivalLine, FaultLine, OutcomeLine {

}
