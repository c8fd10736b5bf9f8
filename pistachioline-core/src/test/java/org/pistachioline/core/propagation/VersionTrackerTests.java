package org.pistachioline.core.propagation;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class VersionTrackerTests {

	private static final long DISCOVERY_NANOS = millis(1_000);

	private final VersionTracker tracker = new VersionTracker(DISCOVERY_NANOS);

	private static long millis(long amount) {
		return TimeUnit.MILLISECONDS.toNanos(amount);
	}

	@Test
	void aDaemonIsBehindFromTheFirstNewerVersionUntilTheNewestOneIsInForce() {
		this.tracker.onInForce(3);
		this.tracker.onHeard(3, "b", millis(2_000));
		assertThat(this.tracker.lag(millis(2_000))).isEqualTo(new VersionLag(3, 3, "", 0, false));
		this.tracker.onHeard(5, "b", millis(2_100));
		this.tracker.onHeard(9, "c", millis(2_400));
		this.tracker.onHeard(5, "b", millis(2_500));
		assertThat(this.tracker.lag(millis(2_600))).isEqualTo(new VersionLag(3, 9, "c", 500, false));
		this.tracker.onInForce(5);
		assertThat(this.tracker.lag(millis(2_600)).isBehind()).isTrue();
		this.tracker.onInForce(9);
		assertThat(this.tracker.lag(millis(2_600))).isEqualTo(new VersionLag(9, 9, "", 0, false));
	}

	@Test
	void theTimeBehindStartsAnewWithEachNewerVersionThatWasCaughtUpWith() {
		this.tracker.onInForce(3);
		this.tracker.onHeard(4, "b", millis(2_000));
		this.tracker.onInForce(4);
		this.tracker.onHeard(6, "b", millis(5_000));
		assertThat(this.tracker.lag(millis(5_100)).behindMillis()).isEqualTo(100);
	}

	// Guards against a daemon that takes its old version for current again, because the
	// only daemon with the newer one has died.
	@Test
	void aVersionCountsAfterTheDeathOfTheDaemonThatHasIt() {
		this.tracker.onInForce(3);
		this.tracker.onHeard(9, "b", millis(2_000));
		this.tracker.onHeard(3, "c", millis(20_000));
		assertThat(this.tracker.lag(millis(31_000)).isBehind()).isTrue();
	}

	// Guards against a daemon that counts as behind for good, because of a version that
	// nobody has.
	@Test
	void aVersionThatNobodyHasDoesNotCountForever() {
		this.tracker.onInForce(3);
		this.tracker.onHeard(Long.MAX_VALUE, "b", millis(2_000));
		assertThat(this.tracker.lag(millis(33_000)).isBehind()).isFalse();
		this.tracker.onHeard(4, "c", millis(33_000));
		assertThat(this.tracker.lag(millis(33_100))).isEqualTo(new VersionLag(3, 4, "c", 100, false));
	}

	// Guards against a daemon that has just started on an old copy of the configuration
	// and
	// refuses by it, before others had time to tell it of theirs.
	@Test
	void aDaemonThatHasJustStartedMayBeBehind() {
		this.tracker.onInForce(1);
		assertThat(this.tracker.lag(millis(900)).mayBeBehind()).isTrue();
		assertThat(this.tracker.lag(millis(1_000)).mayBeBehind()).isFalse();
	}

}
