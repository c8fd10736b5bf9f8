package org.pistachioline.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.claims.ClaimsReducer;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.placement.LeastInFlight;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.quarantine.NoQuarantine;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.queueing.FifoQueue;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.retry.BudgetedRetry;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.core.traffic.TrafficPolicies;

/**
 * Measures what a request that crashes groups costs, and what claims cost.
 */
final class OnceBenchmark implements Benchmark {

	private static final int REPEATS = 12;

	private static final int GROUPS = 60;

	private static final int SLOTS = 8;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long TICK_NANOS = 100 * NANOS_PER_MILLI;

	private static final long DEADLINE_NANOS = 60_000 * NANOS_PER_MILLI;

	private static final int TICKS_PER_REPEAT = 30;

	private static final int BOOKINGS = 100_000;

	private static final int ANSWER_BYTES = 200;

	private static final long LIFETIME_MILLIS = 3_600_000;

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public String name() {
		return "once";
	}

	@Override
	public void run(Figures figures) {
		figures.print("groups lost to a killer sent " + REPEATS + " times, with quarantine",
				groupsLost(new LogBasedQuarantine()), "groups");
		figures.print("groups lost to a killer sent " + REPEATS + " times, without", groupsLost(new NoQuarantine()),
				"groups");
		claims(figures);
	}

	private static int groupsLost(QuarantinePolicy killer) {
		final TrafficCore core = new TrafficCore(new TrafficPolicies(new AdmitAll(), new FifoQueue(REPEATS),
				new LeastInFlight(), new BudgetedRetry(), killer));
		final List<TargetView> groups = new ArrayList<>();
		for (int i = 0; i < GROUPS; i++) {
			groups.add(new TargetView("g" + i + "@1", TargetKind.MODEL, "m", "", 1, "zone-a", true, SLOTS, 0, 0, 0));
		}
		long nowNanos = 0;
		int lost = 0;
		core.onTargets(nowNanos, groups);
		for (int repeat = 1; repeat <= REPEATS; repeat++) {
			Optional<TrafficAction.Start> started = startOf(core.onRequest(nowNanos, killer(repeat, nowNanos)));
			for (int tick = 0; tick < TICKS_PER_REPEAT; tick++) {
				while (started.isPresent()) {
					final TrafficAction.Start start = started.get();
					lost++;
					groups.removeIf((group) -> group.targetId().equals(start.target().targetId()));
					started = startOf(core.onAttemptEnd(nowNanos, start.attempt(), AttemptOutcome.BROKEN, 0));
					core.onTargets(nowNanos, groups);
				}
				nowNanos += TICK_NANOS;
				started = startOf(core.onTick(nowNanos));
			}
		}
		return lost;
	}

	private static Optional<TrafficAction.Start> startOf(List<TrafficAction> actions) {
		return actions.stream()
			.filter((action) -> action instanceof TrafficAction.Start)
			.map((action) -> (TrafficAction.Start) action)
			.findFirst();
	}

	private static RequestInfo killer(long requestId, long nowNanos) {
		return new RequestInfo(requestId, "w", TargetKind.MODEL, "m", 1, 1, 0, nowNanos + DEADLINE_NANOS,
				nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, "killer", List.of());
	}

	private static void claims(Figures figures) {
		final ClaimsReducer reducer = new ClaimsReducer();
		final String digest = "0".repeat(64);
		final String answer = "x".repeat(ANSWER_BYTES);
		final List<LogRecord> records = new ArrayList<>();
		for (int i = 0; i < BOOKINGS; i++) {
			final String key = String.format("%064x", i);
			final long atMillis = (long) i * LIFETIME_MILLIS / 1_000;
			records.add(new LogRecord("daemon-1#abc", 2L * i + 1, 1,
					new KeyClaim("workspace", key, digest, atMillis, atMillis + LIFETIME_MILLIS)));
			records.add(new LogRecord("daemon-1#abc", 2L * i + 2, 1,
					new KeyOutcome("workspace", key, 2L * i, 200, "application/json", answer, false)));
		}
		final double pairBytes = RecordCodec.encode(records.subList(0, 2)).length;
		ClaimsState state = reducer.initial();
		final long begunAtNanos = System.nanoTime();
		for (int offset = 0; offset < records.size(); offset++) {
			state = reducer.apply(state, offset, records.get(offset)).state();
		}
		final double seconds = (System.nanoTime() - begunAtNanos) / NANOS_PER_SECOND;
		figures.print("log bytes of a booking with an answer of " + ANSWER_BYTES + " bytes", pairBytes, "bytes");
		figures.print("records of a booking", 2, "records");
		figures.print("claim records folded a second", records.size() / seconds, "1/s");
		figures.print("claims kept after " + BOOKINGS + " bookings", state.entries().size(), "claims");
	}

}
