package org.pistachioline.adapters.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;

import org.pistachioline.core.claims.ClaimEntry;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.record.GroupDrain;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.WriterMark;
import org.pistachioline.core.state.WriterMarks;

import static org.assertj.core.api.Assertions.assertThat;

class SnapshotCodecTests {

	private static RecordBody body(int step, long offset) {
		final String group = "g-" + step % 7;
		return switch (step % 5) {
			case 0 -> new PlannerClaim("domain-" + step % 2, offset - 1);
			case 1 -> new GroupDrain(group, step, offset, "why");
			case 2 -> new RequestQuarantine("f-" + step, offset, "why");
			case 3 -> new RequestSuspicion("f-" + step, group, offset, step);
			default -> new GroupFormation(group, "model", 0,
					List.of(new Member("i-" + step % 11, "domain-0", "a:1", "zone-a", 4),
							new Member("j-" + step % 11, "domain-0", "a:2", "zone-a", 4)),
					3);
		};
	}

	// A checkpoint that loses a field would let a daemon that loaded it decide otherwise
	// than those that folded the records.
	@Property(seed = "20261202", tries = 200)
	void aFleetStateReadFromItsCheckpointEqualsTheFoldedOne(
			@ForAll @Size(max = 60) List<@IntRange(max = 500) Integer> steps) throws CorruptRecordException {
		final FleetReducer reducer = new FleetReducer();
		FleetState state = reducer
			.apply(reducer.initial(), 0,
					new LogRecord("w-0", 1, 1, new PlannerClaim("domain-0", PlannerClaim.NO_EPOCH)))
			.state();
		long offset = 1;
		for (final int step : steps) {
			state = reducer.apply(state, offset, new LogRecord("w-" + step % 3, offset + 1, 1, body(step, offset)))
				.state();
			offset++;
		}
		final FleetSnapshotCodec codec = new FleetSnapshotCodec();
		assertThat(codec.decode(codec.encode(state))).isEqualTo(state);
	}

	@Test
	void aClaimsStateReadFromItsCheckpointEqualsTheFoldedOne() throws CorruptRecordException {
		final KeyClaim claim = new KeyClaim("shop", "k", "d", 5, 9);
		final KeyOutcome outcome = new KeyOutcome("shop", "k", 3, 201, "text/plain", "done", false);
		final ClaimsState state = new ClaimsState(
				HashTreePMap.singleton(ClaimsState.keyOf("shop", "k"),
						new ClaimEntry(claim, 3, "w", Optional.of(outcome))),
				new WriterMarks(HashTreePMap.singleton("w", new WriterMark(7, 8))));
		final ClaimsSnapshotCodec codec = new ClaimsSnapshotCodec();
		assertThat(codec.decode(codec.encode(state))).isEqualTo(state);
	}

	// Bytes from a broken or foreign peer, or from a stream with garbage on it, must be
	// refused as corrupt and do nothing else.
	@Property(seed = "20261203", tries = 500)
	void arbitraryBytesAreAStateOrCorruptAndNothingElse(@ForAll @Size(max = 64) byte[] bytes) {
		final List<Object> seen = new ArrayList<>();
		for (final SnapshotCodec<?> codec : List.of(new FleetSnapshotCodec(), new ConfigSnapshotCodec(),
				new ClaimsSnapshotCodec())) {
			try {
				seen.add(codec.decode(bytes));
			}
			catch (CorruptRecordException ex) {
				seen.add(ex);
			}
		}
		assertThat(seen).hasSize(3);
	}

	@Property(seed = "20261204", tries = 500)
	void arbitraryBytesAsAnEntryAreRecordsOrCorrupt(@ForAll @Size(max = 64) byte[] bytes) {
		try {
			RecordCodec.decode(bytes).forEach((record) -> assertThat(record.writer()).isNotEmpty());
		}
		catch (CorruptRecordException ex) {
			assertThat(ex).hasCauseInstanceOf(Exception.class);
		}
	}

}
