package org.pistachioline.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.pistachioline.core.demand.ModelDemandSource;

/**
 * Determines by the slots that requests need which models the callers of a service ask
 * for.
 * <p>
 * Tokens do not tell that: a target reads a prompt hundreds of times faster than it
 * generates, so a model with long prompts and short answers would seem to need far more
 * than it does. The slots are those of all requests, refused ones included, at the slot
 * times that answers have shown.
 */
public final class ModelSlotShares implements ModelDemandSource {

	private static final char MODEL_SEPARATOR = '/';

	/** The requests of all daemons per second below which too little is known. */
	private static final double MIN_REQUESTS_PER_SECOND = 1;

	private final Supplier<List<AdmissionReport>> reports;

	/**
	 * Creates a source.
	 * @param reports supplies what is admitted to each model and service
	 */
	public ModelSlotShares(Supplier<List<AdmissionReport>> reports) {
		this.reports = reports;
	}

	@Override
	public Map<String, Double> shareRatios(String service) {
		final String prefix = service + MODEL_SEPARATOR;
		final List<AdmissionReport> models = this.reports.get()
			.stream()
			.filter((report) -> report.name().startsWith(prefix))
			.toList();
		final Map<String, Double> slots = new HashMap<>();
		models.forEach((report) -> slots.put(report.name().substring(prefix.length()), report.wantedSlots()));
		// The slot time of a model that has not answered yet is not known.
		if (requestsPerSecond(models) < MIN_REQUESTS_PER_SECOND
				|| slots.values().stream().anyMatch((wanted) -> !(wanted > 0))) {
			return Map.of();
		}
		final double sum = slots.values().stream().mapToDouble(Double::doubleValue).sum();
		slots.replaceAll((model, wanted) -> wanted / sum);
		return Map.copyOf(slots);
	}

	private static double requestsPerSecond(List<AdmissionReport> models) {
		return models.stream()
			.flatMap((report) -> report.kinds().stream())
			.mapToDouble(AdmissionReport.Kind::requestsPerSecond)
			.sum();
	}

}
