package org.pistachioline.core.traffic;

import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.quarantine.GossipQuarantine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: daemons that are stopped while callers send requests of which one in a hundred
 * takes ten times the usual, in virtual time.
 * <p>
 * Each choice decides on the same requests. The shares that are refused and cut off are
 * printed.
 */
class DrainAdmissionTests {

	private static final int STOPS = 400;

	private static final long STOP_NANOS = nanos(60_000);

	private static final long ESTIMATES_MILLIS = 3_000;

	private static final long LINGER_MILLIS = 3_500;

	private static final long DRAIN_ENDS_AT_NANOS = STOP_NANOS + nanos(6_700);

	private static final int MIN_DEADLINE_MILLIS = 1_000;

	private static final int MAX_DEADLINE_MILLIS = 8_000;

	private static final int USUAL_MILLIS = 300;

	private static final double SLOW_SHARE = 0.01;

	private static final int SLOW_FACTOR = 10;

	private static final int SLOTS = 1_000;

	// Guards against an estimate that is taken for a bound.
	@ParameterizedTest
	@ValueSource(ints = { 1, 10 })
	void noRequestIsCutOffThatMayRunOnlyOnceAndNoneAfterTheEstimates(int perSecond) {
		final Tally longestCompleted = new Tally();
		final Tally onceOnly = new Tally();
		final Tally repeatable = new Tally();
		for (int seed = 1; seed <= STOPS; seed++) {
			new Stop(seed, perSecond, true).run(repeatable, longestCompleted);
			new Stop(seed, perSecond, false).run(onceOnly, new Tally());
		}
		System.out.println("requests per second " + perSecond + ": longest completed time " + longestCompleted
				+ "; repeatable " + repeatable + "; once only " + onceOnly);
		assertThat(longestCompleted.cut).isPositive();
		assertThat(onceOnly.cut).isZero();
		assertThat(repeatable.cutAfterEstimates).isZero();
		assertThat(repeatable.cut).isLessThanOrEqualTo(longestCompleted.cut);
		assertThat(repeatable.refused).isLessThan(onceOnly.refused);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * One stop of a daemon, with the traffic before.
	 */
	private static final class Stop {

		private final TrafficSimulation simulation = new TrafficSimulation(new GossipQuarantine());

		private final CompletionTimes completed = new CompletionTimes();

		private final PriorityQueue<Running> running = new PriorityQueue<>();

		private final Random random;

		private final int perSecond;

		private final boolean repeatable;

		private long lastRequestId;

		Stop(int seed, int perSecond, boolean repeatable) {
			this.random = new Random(seed);
			this.perSecond = perSecond;
			this.repeatable = repeatable;
			this.simulation.apply(this.simulation.core.onTargets(0,
					List.of(new TargetView("t1", TargetKind.MODEL, "m", "t1", 1, "a", true, SLOTS, 0, 0, 0))));
		}

		void run(Tally chosen, Tally longestCompleted) {
			long nowNanos = nextArrivalNanos(0);
			while (nowNanos < STOP_NANOS) {
				arrive(nowNanos);
				nowNanos = nextArrivalNanos(nowNanos);
			}
			while (nowNanos < STOP_NANOS + nanos(LINGER_MILLIS)) {
				final boolean acceptsEstimates = nowNanos < STOP_NANOS + nanos(ESTIMATES_MILLIS);
				this.simulation.core.onDrain(new Drain(DRAIN_ENDS_AT_NANOS,
						acceptsEstimates ? DrainAcceptance.ESTIMATE : DrainAcceptance.DEADLINE, 100, false));
				final Arrival arrival = arrive(nowNanos);
				final boolean outlasts = arrival.endsAtNanos > DRAIN_ENDS_AT_NANOS;
				chosen.add(arrival.accepted, outlasts, !acceptsEstimates);
				longestCompleted.add(arrival.fitsByLongestCompleted, outlasts, !acceptsEstimates);
				nowNanos = nextArrivalNanos(nowNanos);
			}
		}

		private long nextArrivalNanos(long nowNanos) {
			return nowNanos + 1 + (long) (-Math.log(1 - this.random.nextDouble()) * nanos(1_000) / this.perSecond);
		}

		private Arrival arrive(long nowNanos) {
			completeUntil(nowNanos);
			final long usualNanos = nanos(USUAL_MILLIS + this.random.nextInt(USUAL_MILLIS));
			final long takesNanos = (this.random.nextDouble() < SLOW_SHARE) ? SLOW_FACTOR * usualNanos : usualNanos;
			final long deadlineNanos = nowNanos
					+ nanos(MIN_DEADLINE_MILLIS + this.random.nextInt(MAX_DEADLINE_MILLIS - MIN_DEADLINE_MILLIS));
			final long endsAtNanos = Math.min(nowNanos + takesNanos, deadlineNanos);
			this.lastRequestId++;
			final RequestInfo info = new RequestInfo(this.lastRequestId, "w", TargetKind.MODEL, "m", 1, 60, 0,
					deadlineNanos, deadlineNanos, this.repeatable, ClaimRequirement.NONE, "f" + this.lastRequestId,
					List.of());
			final boolean fitsByLongest = fitsByLongestCompleted(nowNanos, info);
			final TrafficAction action = this.simulation.core.onRequest(nowNanos, info).get(0);
			if (action instanceof TrafficAction.Start start) {
				this.running.add(new Running(endsAtNanos, endsAtNanos - nowNanos, info, start.attempt()));
			}
			return new Arrival(action instanceof TrafficAction.Start, endsAtNanos, fitsByLongest);
		}

		private boolean fitsByLongestCompleted(long nowNanos, RequestInfo info) {
			return info.totalDeadlineNanos() <= DRAIN_ENDS_AT_NANOS || (nowNanos >= STOP_NANOS && nowNanos
					+ this.completed.maxNanos(nowNanos, info).orElse(Long.MAX_VALUE / 2) <= DRAIN_ENDS_AT_NANOS);
		}

		private void completeUntil(long nowNanos) {
			while (!this.running.isEmpty() && this.running.peek().endsAtNanos <= nowNanos) {
				final Running ended = this.running.poll();
				end(ended);
			}
		}

		private void end(Running ended) {
			if (ended.endsAtNanos == ended.info.totalDeadlineNanos()) {
				this.simulation.core.onCallerDisconnected(ended.endsAtNanos, ended.info.requestId());
				return;
			}
			this.simulation.core.onProgress(ended.endsAtNanos, ended.attempt, 1);
			this.simulation.core.onAttemptEnd(ended.endsAtNanos, ended.attempt, AttemptOutcome.COMPLETE, 1);
			this.completed.onCompleted(ended.endsAtNanos, ended.info, ended.takesNanos);
		}

	}

	/**
	 * A request that was offered.
	 *
	 * @param accepted whether the core accepted it
	 * @param endsAtNanos when it ends, or reaches its deadline
	 * @param fitsByLongestCompleted whether it fits by its deadline or by the longest
	 * time of those that completed
	 */
	private record Arrival(boolean accepted, long endsAtNanos, boolean fitsByLongestCompleted) {

	}

	/**
	 * A request that runs.
	 *
	 * @param endsAtNanos when it ends
	 * @param takesNanos how long it takes
	 * @param info the request
	 * @param attempt its attempt
	 */
	private record Running(long endsAtNanos, long takesNanos, RequestInfo info,
			AttemptId attempt) implements Comparable<Running> {

		@Override
		public int compareTo(Running other) {
			return Long.compare(this.endsAtNanos, other.endsAtNanos);
		}

	}

	/**
	 * Counts what became of the requests after the signal.
	 */
	private static final class Tally {

		private int offered;

		private int refused;

		private int cut;

		private int cutAfterEstimates;

		void add(boolean accepted, boolean outlasts, boolean afterEstimates) {
			this.offered++;
			this.refused += accepted ? 0 : 1;
			this.cut += (accepted && outlasts) ? 1 : 0;
			this.cutAfterEstimates += (accepted && outlasts && afterEstimates) ? 1 : 0;
		}

		@Override
		public String toString() {
			return "refused " + this.refused + " and cut " + this.cut + " of " + this.offered;
		}

	}

}
