package org.pistachioline.replay.trace;

import java.util.List;

/**
 * A whole trace.
 *
 * @param header the header
 * @param models the models
 * @param services the plain services
 * @param workspaces the workspaces
 * @param arrivals the arrivals, in order of time
 * @param faults the faults
 * @param outcomes the stated outcomes
 */
public record Trace(HeaderLine header, List<ModelLine> models, List<ServiceLine> services,
		List<WorkspaceLine> workspaces, List<ArrivalLine> arrivals, List<FaultLine> faults,
		List<OutcomeLine> outcomes) {

	public Trace {
		models = List.copyOf(models);
		services = List.copyOf(services);
		workspaces = List.copyOf(workspaces);
		arrivals = List.copyOf(arrivals);
		faults = List.copyOf(faults);
		outcomes = List.copyOf(outcomes);
	}

	/**
	 * Returns the same trace with the arrivals of one workspace alone.
	 * @param workspace the workspace
	 * @return the trace
	 */
	public Trace alone(String workspace) {
		return new Trace(this.header, this.models, this.services, this.workspaces,
				this.arrivals.stream().filter((arrival) -> arrival.workspace().equals(workspace)).toList(), this.faults,
				List.of());
	}

	/**
	 * Returns the same trace without faults.
	 * @return the trace
	 */
	public Trace withoutFaults() {
		return new Trace(this.header, this.models, this.services, this.workspaces, this.arrivals, List.of(), List.of());
	}

}
