package org.pistachioline.core.reachability;

import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetReachabilityTests {

	private final TargetReachability reachability = new TargetReachability();

	private void loseTargets(int count) {
		IntStream.range(0, count).forEach((index) -> this.reachability.onIndirectConnection(index, "t" + index));
	}

	@Test
	void aTargetIsUnreachableFromAnIndirectConnectionToTheNextDirectOne() {
		assertThat(this.reachability.onIndirectConnection(1, "a")).isTrue();
		assertThat(this.reachability.onIndirectConnection(2, "a")).isFalse();
		assertThat(this.reachability.isUnreachable("a")).isTrue();
		assertThat(this.reachability.onDirectConnection("a")).isTrue();
		assertThat(this.reachability.onDirectConnection("a")).isFalse();
		assertThat(this.reachability.unreachable()).isEmpty();
	}

	@Test
	void aDaemonIsPartitionedWhileMostOfItsTargetsAreUnreachable() {
		loseTargets(2);
		assertThat(this.reachability.isPartitioned()).isFalse();
		loseTargets(3);
		assertThat(this.reachability.isPartitioned()).isTrue();
		this.reachability.onDirectConnection("t0");
		assertThat(this.reachability.isPartitioned()).isTrue();
		this.reachability.onDirectConnection("t1");
		assertThat(this.reachability.isPartitioned()).isFalse();
	}

	/**
	 * Guards against a daemon that takes itself out of the endpoints because a few
	 * targets have broken links, while it reaches all others.
	 */
	@Test
	void aFewUnreachableTargetsAmongOthersAreNoPartition() {
		loseTargets(1);
		IntStream.range(0, 9).forEach((index) -> this.reachability.onDirectConnection("sound-" + index));
		loseTargets(5);
		assertThat(this.reachability.isPartitioned()).isFalse();
		assertThat(this.reachability.unreachable()).hasSize(5);
	}

	@Test
	void theTargetThatWasNotProbedForLongestIsProbedFirst() {
		loseTargets(3);
		assertThat(this.reachability.takeProbes(10, 2)).containsExactly("t0", "t1");
		assertThat(this.reachability.takeProbes(11, 2)).containsExactly("t2", "t0");
	}

	/**
	 * Guards against a daemon that stays partitioned because of targets that no longer
	 * exist.
	 */
	@Test
	void targetsThatNoLongerExistAreForgotten() {
		loseTargets(3);
		this.reachability.retain(Set.of("other"));
		assertThat(this.reachability.isPartitioned()).isFalse();
		assertThat(this.reachability.unreachable()).isEmpty();
	}

}
