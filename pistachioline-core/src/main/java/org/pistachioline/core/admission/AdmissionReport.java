package org.pistachioline.core.admission;

import java.util.List;

/**
 * What operators are told about the admission to one model or service.
 *
 * @param name the model's or the service's name
 * @param restricted whether requests are refused because the fleet has too little room
 * @param slots the slots of the serving targets
 * @param usableRatio the part of the slots that admitted requests may fill
 * @param kinds the kinds of request, the most urgent first
 */
public record AdmissionReport(String name, boolean restricted, int slots, double usableRatio, List<Kind> kinds) {

	public AdmissionReport {
		kinds = List.copyOf(kinds);
	}

	/**
	 * Returns the slots that all kinds need if all of their requests are admitted.
	 * @return the number of slots
	 */
	public double wantedSlots() {
		return this.kinds.stream().mapToDouble(Kind::wantedSlots).sum();
	}

	/**
	 * Returns the requests of all daemons that are refused, as estimated.
	 * @return the requests per second
	 */
	public double refusedPerSecond() {
		return this.kinds.stream().mapToDouble(Kind::refusedPerSecond).sum();
	}

	/**
	 * The admission of one kind of request.
	 *
	 * @param priority the priority; higher numbers go first
	 * @param requestsPerSecond the requests of all daemons, as estimated
	 * @param refusedPerSecond the requests among them that are refused
	 * @param wantedSlots the slots that the kind needs if all of its requests are
	 * admitted
	 * @param admittedRatio the part of the requests on time that is admitted
	 * @param lateAdmittedRatio the part of the late requests that is admitted
	 */
	public record Kind(int priority, double requestsPerSecond, double refusedPerSecond, double wantedSlots,
			double admittedRatio, double lateAdmittedRatio) {

	}

}
