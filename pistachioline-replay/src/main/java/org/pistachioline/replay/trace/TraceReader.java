package org.pistachioline.replay.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads a trace and refuses what it does not know: a key that is misspelt and silently
 * left out would make an outcome hold that was never looked at.
 */
public final class TraceReader {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private final String file;

	private final List<ModelLine> models = new ArrayList<>();

	private final List<ServiceLine> services = new ArrayList<>();

	private final List<WorkspaceLine> workspaces = new ArrayList<>();

	private final List<ArrivalLine> arrivals = new ArrayList<>();

	private final List<FaultLine> faults = new ArrayList<>();

	private final List<OutcomeLine> outcomes = new ArrayList<>();

	private HeaderLine header;

	private TraceReader(String file) {
		this.file = file;
	}

	/**
	 * Reads a trace.
	 * @param file the file's name, for messages
	 * @param lines the file's lines
	 * @return the trace
	 * @throws MalformedTraceException if a line is wrong
	 */
	public static Trace read(String file, List<String> lines) throws MalformedTraceException {
		final TraceReader reader = new TraceReader(file);
		for (int i = 0; i < lines.size(); i++) {
			final String line = lines.get(i).strip();
			if (!line.isEmpty()) {
				reader.line(i + 1, line);
			}
		}
		if (reader.header == null) {
			throw new MalformedTraceException(file, 1, "there is no header");
		}
		reader.arrivals.sort(Comparator.comparingDouble(ArrivalLine::atMillis));
		return new Trace(reader.header, reader.models, reader.services, reader.workspaces, reader.arrivals,
				reader.faults, reader.outcomes);
	}

	private void line(int number, String text) throws MalformedTraceException {
		try {
			take(number, MAPPER.readValue(text, TraceLine.class));
		}
		catch (JsonProcessingException ex) {
			throw new MalformedTraceException(this.file, number, ex.getOriginalMessage());
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedTraceException(this.file, number, ex.getMessage());
		}
	}

	private void take(int number, TraceLine line) {
		if (line instanceof HeaderLine first) {
			require(this.header == null, "there is a second header");
			this.header = first;
			return;
		}
		require(this.header != null, "the header does not come first");
		if (line instanceof ModelLine model) {
			this.models.add(model);
		}
		else if (line instanceof ServiceLine service) {
			this.services.add(service);
		}
		else if (line instanceof WorkspaceLine workspace) {
			this.workspaces.add(workspace);
		}
		else if (line instanceof PoissonLine poisson) {
			check(poisson.workspace(), poisson.target());
			this.arrivals.addAll(new ArrivalExpander(this.header, this.models).expand(poisson, number));
		}
		else if (line instanceof ArrivalLine arrival) {
			check(arrival.workspace(), arrival.target());
			this.arrivals.add(arrival);
		}
		else if (line instanceof FaultLine fault) {
			require(fault.target() == null || targets().contains(fault.target()),
					"target " + fault.target() + " is not declared above");
			this.faults.add(fault);
		}
		else if (line instanceof OutcomeLine outcome) {
			this.outcomes.add(outcome);
		}
	}

	private void check(String workspace, String target) {
		require(this.workspaces.stream().anyMatch((known) -> known.name().equals(workspace)),
				"workspace " + workspace + " is not declared above");
		require(targets().contains(target), "target " + target + " is not declared above");
	}

	private Set<String> targets() {
		final Set<String> names = new HashSet<>();
		this.models.forEach((model) -> names.add(model.name()));
		this.services.forEach((service) -> names.add(service.name()));
		return names;
	}

	private static void require(boolean condition, String fault) {
		if (!condition) {
			throw new IllegalArgumentException(fault);
		}
	}

}
