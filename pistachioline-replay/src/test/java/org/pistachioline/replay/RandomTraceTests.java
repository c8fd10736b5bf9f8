package org.pistachioline.replay;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.pistachioline.replay.simulation.Figures;
import org.pistachioline.replay.simulation.PolicySet;
import org.pistachioline.replay.simulation.Simulation;
import org.pistachioline.replay.trace.MalformedTraceException;
import org.pistachioline.replay.trace.TraceReader;

import static org.assertj.core.api.Assertions.assertThat;

class RandomTraceTests {

	private static final int QUEUED = 20;

	// Bursts, slow and lost targets, a lost daemon, a log outage and lost answers at any
	// moment together. Whatever happens, a caller gets one end to each request, is told
	// "not run" only of what no target saw, and a booking runs once.
	@Property(tries = 40, seed = "20261202")
	void whateverFailsEachRequestEndsOnceAndNoAnswerLies(@ForAll @IntRange(min = 1, max = 4) int daemons,
			@ForAll @IntRange(min = 1, max = 9) int replicas, @ForAll @DoubleRange(min = 0.1, max = 4) double load,
			@ForAll @IntRange(min = 1, max = 1_000_000) int seed, @ForAll @IntRange(min = 0, max = 8) int failing,
			@ForAll @DoubleRange(min = 1, max = 10) double atSeconds) throws MalformedTraceException {
		final Figures figures = new Simulation(
				TraceReader.read("random", lines(daemons, replicas, load, seed, failing, atSeconds)),
				PolicySet.PISTACHIOLINE)
			.run();
		assertThat(figures.figure("not_ended_once", "", "")).isZero();
		assertThat(figures.figure("false_not_run", "", "")).isZero();
		assertThat(figures.figure("without_retry_after", "", "")).isZero();
		assertThat(figures.figure("live_attempts_max", "", "")).isLessThanOrEqualTo(1);
		assertThat(figures.figure("runs_by_key_max", "", "")).isLessThanOrEqualTo(1);
		assertThat(figures.figure("queued_max", "", "")).isLessThanOrEqualTo(3 * QUEUED + replicas * 8);
	}

	private static List<String> lines(int daemons, int replicas, double load, int seed, int failing, double atSeconds) {
		final List<String> lines = new ArrayList<>();
		lines.add("{'kind':'header','name':'random','daemons':" + daemons + ",'duration_seconds':15,'seed':" + seed
				+ ",'availability_zones':['a','b'],'first_token_millis':2000,'total_millis':20000,"
				+ "'log_lost_answer_ratio':0.2}");
		lines.add("{'kind':'model','name':'m','replicas':" + replicas
				+ ",'slots':4,'token_millis':10,'recovery_seconds':3}");
		lines.add("{'kind':'service','name':'desk','replicas':2,'slots':4,'call_millis':50,'lost_answer_ratio':0.2}");
		for (final String workspace : List.of("one", "two", "three")) {
			lines.add("{'kind':'workspace','name':'" + workspace + "','queued_requests':" + QUEUED + "}");
		}
		lines.add(poisson("one", "m", "'load_ratio':" + load));
		lines.add(poisson("two", "m", "'load_ratio':0.2"));
		lines.add(poisson("three", "desk", "'per_second':20,'keyed':true,'patient':true,'repeat_millis':700"));
		lines.add("{'kind':'arrival','at_millis':4000,'workspace':'two','target':'m','crashes':" + (failing % 2 == 0)
				+ ",'fingerprint':'f','output_tokens':9,'repeats':5,'patient':true}");
		lines.add(fault("slow", "'target':'m','index':0,'factor':15,'period_seconds':2", atSeconds));
		if (failing > 2) {
			lines.add(fault("down", "'target':'m','index':" + failing % replicas, atSeconds + 1));
		}
		if (failing > 4) {
			lines.add(fault("log_outage", "'factor':1", atSeconds - 1));
		}
		if (failing > 5) {
			lines.add(fault("daemon_lost", "'daemon':" + seed % daemons, atSeconds + 2));
		}
		if (failing > 6) {
			lines.add(fault("zone_lost", "'availability_zone':'b'", atSeconds + 2.5));
		}
		return lines.stream().map((line) -> line.replace('\'', '"')).toList();
	}

	private static String poisson(String workspace, String target, String rest) {
		return "{'kind':'poisson','workspace':'" + workspace + "','target':'" + target
				+ "','prompt_tokens':100,'output_tokens':60,'output_spread_ratio':0.9,'repeats':3," + rest + "}";
	}

	private static String fault(String type, String rest, double fromSeconds) {
		return "{'kind':'fault','type':'" + type + "'," + rest + ",'from_seconds':" + fromSeconds + ",'to_seconds':"
				+ (fromSeconds + 4) + "}";
	}

}
