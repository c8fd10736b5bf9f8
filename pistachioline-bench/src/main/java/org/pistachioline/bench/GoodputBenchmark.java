package org.pistachioline.bench;

import java.util.List;

import org.pistachioline.replay.simulation.PolicySet;
import org.pistachioline.replay.simulation.Simulation;
import org.pistachioline.replay.trace.MalformedTraceException;
import org.pistachioline.replay.trace.TraceReader;

/**
 * Measures how much of the capacity answers callers in time, from 1 to 5 times capacity.
 */
final class GoodputBenchmark implements Benchmark {

	private static final double[] LOADS = { 1, 1.5, 3, 5 };

	@Override
	public String name() {
		return "goodput";
	}

	@Override
	public void run(Figures figures) throws MalformedTraceException {
		for (final double load : LOADS) {
			for (final PolicySet policies : PolicySet.values()) {
				final double ratio = new Simulation(TraceReader.read("goodput", lines(load)), policies).run()
					.figure("goodput_ratio", "", "");
				figures.print("goodput_" + policies.label() + "_at_" + load, ratio, "of_capacity");
			}
		}
	}

	private static List<String> lines(double load) {
		return List.of(
				"{\"kind\":\"header\",\"name\":\"goodput\",\"daemons\":3,\"duration_seconds\":60,\"seed\":5,"
						+ "\"availability_zones\":[\"a\",\"b\",\"c\"],\"first_token_millis\":5000,"
						+ "\"total_millis\":60000,\"measure_from_seconds\":20}",
				"{\"kind\":\"model\",\"name\":\"m\",\"replicas\":12,\"slots\":8,\"token_millis\":20}",
				"{\"kind\":\"workspace\",\"name\":\"w\"}",
				"{\"kind\":\"poisson\",\"workspace\":\"w\",\"target\":\"m\",\"load_ratio\":" + load
						+ ",\"prompt_tokens\":200,\"output_tokens\":100,\"output_spread_ratio\":0.5,"
						+ "\"max_output_tokens\":400}");
	}

}
