package org.pistachioline.core.presence;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GroupDigestTests {

	private static final long MILLI = 1_000_000;

	// An answer that takes two seconds through a congested link tells of a proof that was
	// fresh when it left. Counted from its arrival, the group would serve two seconds
	// longer.
	@Test
	void theAgeOfAProofCountsFromBeforeTheQuestion() {
		final GroupProof sent = new GroupProof(400 * MILLI, GroupProof.NEVER, 400 * MILLI, List.of(), 3, 1,
				400 * MILLI);
		final GroupDigest digest = GroupDigest.of(7, sent, 1_000 * MILLI);
		final long askedAtNanos = 90_000 * MILLI;
		final GroupProof received = digest.received(askedAtNanos);
		assertThat(received.provenAtNanos()).isEqualTo(askedAtNanos - 600 * MILLI);
		assertThat(received.serves(2_500 * MILLI, askedAtNanos + 1_900 * MILLI)).isTrue();
		assertThat(received.serves(2_500 * MILLI, askedAtNanos + 1_901 * MILLI)).isFalse();
	}

	@Test
	void agesAreRoundedSoThatAProofIsNeverToldYoungerThanItIs() {
		final GroupProof sent = new GroupProof(1, GroupProof.NEVER, 1, List.of(2), 0, 0, GroupProof.NEVER);
		final GroupDigest digest = GroupDigest.of(7, sent, MILLI + 2);
		assertThat(digest).isEqualTo(new GroupDigest(7, 2, -1, 2, List.of(2), 0, 0, -1));
	}

}
