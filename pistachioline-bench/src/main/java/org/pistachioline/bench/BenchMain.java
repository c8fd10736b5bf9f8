package org.pistachioline.bench;

import java.util.List;

import org.pistachioline.bench.control.ControlBenchmark;
import org.pistachioline.bench.control.InForceBenchmark;
import org.pistachioline.bench.control.MemberLossBenchmark;
import org.pistachioline.bench.relay.RelayBenchmark;

/**
 * Runs one measurement by its name.
 */
public final class BenchMain {

	private static final int EXIT_USAGE = 2;

	private static final List<Benchmark> BENCHMARKS = List.of(new ReducerBenchmark(), new StateBenchmark(),
			new LimboBenchmark(), new RelayBenchmark(), new ControlBenchmark(), new InForceBenchmark(),
			new MemberLossBenchmark(), new OnceBenchmark(), new DecisionsBenchmark(), new GoodputBenchmark(),
			new RecordBenchmark(), new PlannerBenchmark(), new FleetLinksBenchmark());

	private BenchMain() {
	}

	/**
	 * Runs a measurement.
	 * @param args its name
	 * @throws Exception if it cannot be measured
	 */
	public static void main(String[] args) throws Exception {
		for (final Benchmark benchmark : BENCHMARKS) {
			if (args.length == 1 && benchmark.name().equals(args[0])) {
				benchmark.run(new Figures(benchmark.name(), System.out));
				System.exit(0);
			}
		}
		System.err.println("usage: bin/bench NAME, one of: "
				+ String.join(", ", BENCHMARKS.stream().map(Benchmark::name).toList()));
		System.exit(EXIT_USAGE);
	}

}
