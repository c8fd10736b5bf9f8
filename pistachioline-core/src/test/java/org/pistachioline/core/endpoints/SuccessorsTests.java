package org.pistachioline.core.endpoints;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class SuccessorsTests {

	// Guards against the last two daemons of a fleet that both go at once.
	@Test
	void theDaemonThatLeftLastHasNoSuccessorUntilAnotherIsReady() {
		final Successors ofTheLast = new Successors(List.of(daemon("a", 1, false, true)));
		assertThat(ofTheLast.serve(List.of(daemon("a", 1, false, true)))).isFalse();
		assertThat(ofTheLast.serve(List.of())).isFalse();
		assertThat(ofTheLast.serve(List.of(daemon("a", 2, false, false)))).isFalse();
		assertThat(ofTheLast.serve(List.of(daemon("a", 2, true, false)))).isTrue();
	}

	// Guards against a daemon that waits for one that in turn waits for it.
	@Test
	void aDaemonThatBeginsToLeaveLaterServesTheCallersOfTheEarlierOne() {
		final Successors ofTheFirst = new Successors(List.of(daemon("b", 1, true, false)));
		assertThat(ofTheFirst.serve(List.of(daemon("b", 1, false, true)))).isTrue();
	}

	// Guards against a restarted daemon that leaves again and is taken for its former
	// life.
	@Test
	void aRestartedDaemonThatLeavesAgainServesLonger() {
		final Successors successors = new Successors(List.of(daemon("a", 1, false, true)));
		assertThat(successors.serve(List.of(daemon("a", 2, false, true)))).isTrue();
	}

	private static PeerStatus daemon(String id, long incarnation, boolean ready, boolean leaving) {
		return new PeerStatus(id, id + ":1", id + ":2", id + ":3", "zone", incarnation, 1, 1, 0, 0, ready, leaving, 0,
				0);
	}

}
