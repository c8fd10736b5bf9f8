package org.pistachioline.core.overload;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: evenly spaced requests at a loop of a quarter to one and a half cores, in virtual
 * time.
 */
class LateLoopPolicyTests {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long TICK_NANOS = 100 * MILLI;

	private static final long BUDGET_NANOS = 1_400 * MILLI;

	private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(20);

	/** Processor time of a request's acceptance, of its sending and of its answer. */
	private static final long[] STAGE_NANOS = { 4 * MILLI, 4 * MILLI, 2 * MILLI };

	private static final long REFUSAL_NANOS = MILLI;

	private static final double REQUESTS_PER_CORE_SECOND = 100;

	// Guards against a machine short of processor time that accepts everything and then
	// answers nobody in time.
	@ParameterizedTest
	@ValueSource(doubles = { 0.25, 0.36, 0.5, 1, 1.5 })
	void atTwiceItsRateAMachineServesInTimeWhatItAccepts(double cores) {
		final SimulatedLoop loop = new SimulatedLoop(cores, 2);
		loop.run();
		assertThat(loop.inTime).isGreaterThanOrEqualTo((int) (0.95 * loop.accepted));
		assertThat(loop.inTime)
			.isGreaterThanOrEqualTo((int) (0.5 * cores * REQUESTS_PER_CORE_SECOND * RUN_NANOS / 1_000_000_000));
		assertThat(loop.refused).isPositive();
	}

	// Guards against refusals by a machine that keeps up.
	@ParameterizedTest
	@ValueSource(doubles = { 0.25, 0.36, 0.5, 1, 1.5 })
	void belowItsRateAMachineRefusesNothing(double cores) {
		final SimulatedLoop loop = new SimulatedLoop(cores, 0.8);
		loop.run();
		assertThat(loop.refused).isZero();
		assertThat(loop.inTime).isEqualTo(loop.accepted);
	}

	// Guards against callers who are refused after a pause of the garbage collector.
	@Test
	void aSinglePauseIsNoLateLoop() {
		final LoopLag lag = new LoopLag(TICK_NANOS, 0);
		lag.onTick(TICK_NANOS);
		assertThat(lag.sustainedNanos(10 * TICK_NANOS)).isZero();
		lag.onTick(10 * TICK_NANOS);
		assertThat(lag.sustainedNanos(10 * TICK_NANOS)).isZero();
		lag.onTick(20 * TICK_NANOS);
		assertThat(lag.sustainedNanos(20 * TICK_NANOS)).isEqualTo(8 * TICK_NANOS);
	}

	@Test
	void theRecentLagDeclinesWithinSeconds() {
		final LoopLag lag = new LoopLag(TICK_NANOS, 0);
		lag.onTick(11 * TICK_NANOS);
		assertThat(lag.recentNanos()).isEqualTo(10 * TICK_NANOS);
		for (int tick = 12; tick < 112; tick++) {
			lag.onTick(tick * TICK_NANOS);
		}
		assertThat(lag.recentNanos()).isLessThan(LateLoopPolicy.ON_TIME_NANOS);
	}

	@Test
	void aRefusedCallerReturnsWhenTheBacklogIsWorkedOff() {
		assertThat(LateLoopPolicy.retryAfterMillis(800 * MILLI, 0)).isEqualTo(800);
		assertThat(LateLoopPolicy.retryAfterMillis(800 * MILLI, 0.5)).isEqualTo(2_000);
	}

	/** A step of a request, or a tick where the stage is negative. */
	private record Step(long arrivedNanos, int stage) {

	}

	/**
	 * Runs steps one after the other, as fast as the machine's share of a core allows.
	 */
	private static final class SimulatedLoop {

		private final double cores;

		private final long gapNanos;

		private final LoopLag lag = new LoopLag(TICK_NANOS, 0);

		private final Deque<Step> steps = new ArrayDeque<>();

		private long nowNanos;

		private long nextArrivalNanos;

		private long nextTickNanos = TICK_NANOS;

		private int accepted;

		private int refused;

		private int inTime;

		SimulatedLoop(double cores, double loadRatio) {
			this.cores = cores;
			this.gapNanos = (long) (1_000_000_000 / (cores * loadRatio * REQUESTS_PER_CORE_SECOND));
		}

		void run() {
			while (this.nowNanos < RUN_NANOS || !this.steps.isEmpty()) {
				queueWhatIsDue();
				if (this.steps.isEmpty()) {
					this.nowNanos = Math.min(this.nextArrivalNanos, this.nextTickNanos);
				}
				else {
					run(this.steps.poll());
				}
			}
		}

		private void queueWhatIsDue() {
			for (; this.nextArrivalNanos <= Math.min(this.nowNanos,
					RUN_NANOS); this.nextArrivalNanos += this.gapNanos) {
				this.steps.add(new Step(this.nextArrivalNanos, 0));
			}
			if (this.nextTickNanos <= Math.min(this.nowNanos, RUN_NANOS)) {
				this.steps.add(new Step(this.nextTickNanos, -1));
				this.nextTickNanos = Long.MAX_VALUE;
			}
		}

		private void run(Step step) {
			if (step.stage() < 0) {
				this.lag.onTick(this.nowNanos);
				this.nextTickNanos = this.nowNanos + TICK_NANOS;
			}
			else if (step.stage() == 0 && LateLoopPolicy.refuses(this.nowNanos - step.arrivedNanos(),
					this.lag.sustainedNanos(this.nowNanos), BUDGET_NANOS)) {
				this.refused++;
				this.nowNanos += (long) (REFUSAL_NANOS / this.cores);
			}
			else {
				advance(step);
			}
		}

		private void advance(Step step) {
			this.accepted += (step.stage() == 0) ? 1 : 0;
			this.nowNanos += (long) (STAGE_NANOS[step.stage()] / this.cores);
			if (step.stage() + 1 < STAGE_NANOS.length) {
				this.steps.add(new Step(step.arrivedNanos(), step.stage() + 1));
			}
			else if (this.nowNanos - step.arrivedNanos() <= BUDGET_NANOS) {
				this.inTime++;
			}
		}

	}

}
