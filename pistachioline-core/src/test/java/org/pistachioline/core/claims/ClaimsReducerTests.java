package org.pistachioline.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.ApplyResult;
import org.pistachioline.core.state.RejectReason;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimsReducerTests {

	private static final long LIFETIME_MILLIS = 1_000;

	private final ClaimsReducer reducer = new ClaimsReducer();

	private ClaimsState state = ClaimsState.EMPTY;

	private long offset;

	private ApplyResult<ClaimsState> append(String writer, long sequence, RecordBody body) {
		this.offset++;
		final ApplyResult<ClaimsState> applied = this.reducer.apply(this.state, this.offset,
				new LogRecord(writer, sequence, 1, body));
		this.state = applied.state();
		return applied;
	}

	private static KeyClaim claim(String key, long atMillis) {
		return new KeyClaim("w", key, "digest", atMillis, atMillis + LIFETIME_MILLIS);
	}

	// A claim's answer is lost, so its writer sends it again; both copies land, the
	// second
	// one after the claim was given back. Folded twice it would hold a key for which
	// nothing runs, and the caller's repeats would be told that it may have run.
	@Test
	void aClaimThatIsAppendedTwiceIsAppliedOnce() {
		append("a", 1, claim("k", 0));
		append("a", 2, new KeyRelease("w", "k", 1));
		final ApplyResult<ClaimsState> again = append("a", 1, claim("k", 0));
		assertThat(again.rejection()).contains(RejectReason.REPEATED);
		assertThat(this.state.find("w", "k")).isEmpty();
	}

	// A daemon gave its claim back, another one claimed the key and runs it. The first
	// one's release lands once more: it must not free the other's claim, or a third
	// daemon would run the booking a second time.
	@Test
	void aReleaseRemovesOnlyTheClaimThatItNames() {
		append("a", 1, claim("k", 0));
		append("a", 2, new KeyRelease("w", "k", 1));
		append("b", 1, claim("k", 0));
		final ApplyResult<ClaimsState> late = append("a", 3, new KeyRelease("w", "k", 1));
		assertThat(late.rejection()).contains(RejectReason.UNKNOWN_CLAIM);
		assertThat(append("c", 1, claim("k", 0)).rejection()).contains(RejectReason.KEY_TAKEN);
	}

	// Claims come for years. A state that kept them all would fill the daemon; one that
	// forgot them early would run a repeat as new. Past the bound the oldest go, and only
	// once twice their lifetime has passed.
	@Test
	void aPartitionIsBoundedAndEvictsOnlyEntriesPastRetention() {
		for (int i = 0; i < 40_000; i++) {
			append("a", i + 1, claim("k" + i, i));
		}
		assertThat(this.state.entries()).hasSize(ClaimsState.EVICTION_THRESHOLD_ENTRIES + 1);
		assertThat(this.state.byExpiry()).hasSize(this.state.entries().size());
		assertThat(this.state.find("w", "k39999")).isPresent();
		assertThat(this.state.find("w", "k" + (40_000 - 2 * LIFETIME_MILLIS))).isPresent();
		assertThat(this.state.find("w", "k0")).isEmpty();
	}

	// More claims arrive within a key's lifetime than a partition may hold. No younger
	// claim is forgotten for a newer one; the newer one is refused, as not run.
	@Test
	void aPartitionFullOfUnexpiredClaimsGrantsNone() {
		for (int i = 0; i < ClaimsState.MAX_ENTRIES; i++) {
			append("a", i + 1, claim("k" + i, 0));
		}
		assertThat(append("b", 1, claim("one more", 1)).rejection()).contains(RejectReason.CLAIMS_FULL);
		assertThat(append("b", 2, claim("k0", 1)).rejection()).contains(RejectReason.KEY_TAKEN);
	}

	// Services answer with large bodies. What does not fit is remembered as having run
	// with an unknown answer, and never as not having run.
	@Test
	void responsesBeyondTheStorageLimitAreStoredAsUnknown() {
		final String body = "x".repeat(1024 * 1024);
		for (int i = 0; i < 9; i++) {
			append("a", 2 * i + 1, claim("k" + i, 0));
			append("a", 2 * i + 2, new KeyOutcome("w", "k" + i, this.offset, 200, "text/plain", body, false));
		}
		assertThat(this.state.storedBytes()).isEqualTo(ClaimsState.MAX_STORED_BYTES);
		assertThat(this.state.find("w", "k7").orElseThrow().outcome().orElseThrow().unknown()).isFalse();
		assertThat(this.state.find("w", "k8").orElseThrow().outcome().orElseThrow().unknown()).isTrue();
	}

	// Daemons race for the same few keys; appends land twice, late or not at all, claims
	// are given back, answers are stored. Over the whole history a key has one holder at
	// a time, and a second daemon that folds the same records finds the same holders.
	@Property(seed = "7202", tries = 200, shrinking = ShrinkingMode.OFF)
	void aKeyHasOneHolderAndAllReplicasAgreeForAnyHistory(@ForAll long seed) {
		final Random random = new Random(seed);
		final List<LogRecord> sent = new ArrayList<>();
		final Map<String, Long> holders = new HashMap<>();
		final Map<String, Long> sequences = new HashMap<>();
		ClaimsState first = ClaimsState.EMPTY;
		ClaimsState second = ClaimsState.EMPTY;
		for (long at = 0; at < 200; at++) {
			final boolean repeat = !sent.isEmpty() && random.nextInt(3) == 0;
			final LogRecord record = repeat ? sent.get(random.nextInt(sent.size()))
					: randomRecord(random, sequences, first);
			sent.add(record);
			final ApplyResult<ClaimsState> applied = this.reducer.apply(first, at, record);
			updateHolders(holders, at, record, applied);
			first = applied.state();
			second = this.reducer.apply(second, at, record).state();
			assertThat(second).isEqualTo(first);
		}
		assertThat(new ClaimsState(first.entries(), first.writers())).isEqualTo(first);
	}

	private static LogRecord randomRecord(Random random, Map<String, Long> sequences, ClaimsState state) {
		final String writer = "d" + random.nextInt(3);
		final String key = "k" + random.nextInt(3);
		final long claimOffset = state.find("w", key).map(ClaimEntry::claimOffset).orElse(random.nextLong(5));
		final RecordBody body = switch (random.nextInt(4)) {
			case 0 -> new KeyRelease("w", key, claimOffset);
			case 1 -> new KeyOutcome("w", key, claimOffset, 200, "", "done", random.nextBoolean());
			default -> claim(key, random.nextLong(1_000));
		};
		return new LogRecord(writer, sequences.merge(writer, 1L, Long::sum), 1, body);
	}

	private static void updateHolders(Map<String, Long> holders, long at, LogRecord record,
			ApplyResult<ClaimsState> applied) {
		if (!applied.isAccepted()) {
			return;
		}
		if (record.body() instanceof KeyClaim claim) {
			assertThat(holders.put(claim.key(), at)).as("granted once").isNull();
		}
		else if (record.body() instanceof KeyRelease release) {
			assertThat(holders.remove(release.key())).isEqualTo(release.claimOffset());
		}
	}

}
