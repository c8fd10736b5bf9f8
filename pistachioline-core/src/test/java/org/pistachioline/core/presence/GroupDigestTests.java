package org.pistachioline.core.presence;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GroupDigestTests {

	private static final long MILLI_NANOS = 1_000_000;

	// An answer that takes two seconds through a congested link tells of a proof that was
	// fresh when it left. Counted from its arrival, the group would serve two seconds
	// longer.
	@Test
	void theAgeOfAProofCountsFromBeforeTheRequest() {
		final GroupProof sent = new GroupProof(400 * MILLI_NANOS, GroupProof.NEVER, 400 * MILLI_NANOS, List.of(), 3, 1,
				400 * MILLI_NANOS);
		final GroupDigest digest = GroupDigest.of(7, sent, 1_000 * MILLI_NANOS);
		final long askedAtNanos = 90_000 * MILLI_NANOS;
		final GroupProof received = digest.toProof(askedAtNanos);
		assertThat(received.provenAtNanos()).isEqualTo(askedAtNanos - 600 * MILLI_NANOS);
		assertThat(received.mayServe(2_500 * MILLI_NANOS, askedAtNanos + 1_900 * MILLI_NANOS)).isTrue();
		assertThat(received.mayServe(2_500 * MILLI_NANOS, askedAtNanos + 1_901 * MILLI_NANOS)).isFalse();
	}

	@Test
	void agesAreRoundedSoThatAProofNeverAppearsNewerThanItIs() {
		final GroupProof sent = new GroupProof(1, GroupProof.NEVER, 1, List.of(2), 0, 0, GroupProof.NEVER);
		final GroupDigest digest = GroupDigest.of(7, sent, MILLI_NANOS + 2);
		assertThat(digest).isEqualTo(new GroupDigest(7, 2, -1, 2, List.of(2), 0, 0, -1));
	}

}
