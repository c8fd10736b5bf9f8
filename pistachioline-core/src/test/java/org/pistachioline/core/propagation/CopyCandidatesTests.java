package org.pistachioline.core.propagation;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class CopyCandidatesTests {

	private static PeerStatus peer(String daemonId, long version) {
		return new PeerStatus(daemonId, "", "", "", "", 1, 1, version, 0, 0, true, false, 0, 0);
	}

	private static Set<String> chosen(List<PeerStatus> peers, long inForce, String askedLast) {
		final Random random = new Random(1);
		return IntStream.range(0, 100)
			.mapToObj((choice) -> CopyCandidates.choose(peers, inForce, askedLast, random))
			.flatMap((choice) -> choice.stream())
			.collect(Collectors.toSet());
	}

	@Test
	void oneOfThoseWithTheNewestVersionIsAsked() {
		final List<PeerStatus> peers = List.of(peer("a", 9), peer("b", 7), peer("c", 9), peer("d", 3));
		assertThat(chosen(peers, 3, "")).containsExactlyInAnyOrder("a", "c");
	}

	// Guards against a daemon that asks the same silent one again and again.
	@Test
	void theOneThatWasAskedLastIsAskedAgainOnlyIfThereIsNoOther() {
		assertThat(chosen(List.of(peer("a", 9), peer("b", 9)), 3, "a")).containsExactly("b");
		assertThat(chosen(List.of(peer("a", 9), peer("b", 7)), 3, "a")).containsExactly("a");
	}

	@Test
	void nobodyIsAskedForAVersionThatIsInForce() {
		assertThat(chosen(List.of(peer("a", 9), peer("b", 7)), 9, "")).isEmpty();
		assertThat(chosen(List.of(), 0, "")).isEmpty();
	}

}
