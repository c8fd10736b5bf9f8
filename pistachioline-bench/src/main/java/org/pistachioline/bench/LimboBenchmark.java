package org.pistachioline.bench;

import java.util.ArrayList;
import java.util.List;

import org.pistachioline.adapters.codec.ClaimsSnapshotCodec;
import org.pistachioline.adapters.codec.CorruptRecordException;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.adapters.stream.FollowerListener;
import org.pistachioline.adapters.stream.StreamFollower;
import org.pistachioline.core.claims.ClaimsReducer;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.stream.StreamCondition;

/**
 * Counts wrong answers on cold start, with limbo and without it.
 * <p>
 * Bookings are claimed and settled; the older half of the records expires; every daemon
 * is replaced, and each caller repeats its booking once before a checkpoint is found and
 * once after. "No such claim" is wrong for each of them, and each such answer runs the
 * booking a second time.
 */
final class LimboBenchmark implements Benchmark {

	private static final int BOOKINGS = 1_000;

	private static final long FOREVER_MILLIS = Long.MAX_VALUE / 2;

	private final List<LogEntry> entries = new ArrayList<>();

	@Override
	public String name() {
		return "limbo";
	}

	@Override
	public void run(Figures figures) {
		final StreamFollower<ClaimsState> old = follower();
		for (int booking = 0; booking < BOOKINGS; booking++) {
			final long claimOffset = append(claim(booking));
			append(new KeyOutcome("shop", "k-" + booking, claimOffset, 201, "text/plain", "done", false));
		}
		old.onPage(page(0));
		final int headOffset = BOOKINGS;
		final ClaimsState withoutLimbo = foldFromHead(headOffset);
		final StreamFollower<ClaimsState> limbo = follower();
		limbo.onPage(page(headOffset));
		limbo.onPage(page(headOffset));
		report(figures, "without limbo, before a checkpoint", withoutLimbo, true);
		report(figures, "with limbo, before a checkpoint", limbo.state(), limbo.condition() == StreamCondition.WHOLE);
		CheckpointParts.cut(old.nextOffset() - 1, new ClaimsSnapshotCodec().encode(old.state())).forEach(this::append);
		report(figures, "without limbo, after a checkpoint", foldFromHead(headOffset), true);
		for (int reads = 0; reads < 3; reads++) {
			limbo.onPage(page(headOffset));
		}
		report(figures, "with limbo, after a checkpoint", limbo.state(), limbo.condition() == StreamCondition.WHOLE);
	}

	private static void report(Figures figures, String when, ClaimsState state, boolean whole) {
		int wrong = 0;
		int stored = 0;
		int unknown = 0;
		for (int booking = 0; booking < BOOKINGS; booking++) {
			if (state.find("shop", "k-" + booking).filter((entry) -> entry.outcome().isPresent()).isPresent()) {
				stored++;
			}
			else if (whole) {
				wrong++;
			}
			else {
				unknown++;
			}
		}
		figures.print("wrong 'no such claim' (a second run each), " + when, wrong, "of " + BOOKINGS);
		figures.print("stored outcome given, " + when, stored, "of " + BOOKINGS);
		figures.print("refused as unknown, " + when, unknown, "of " + BOOKINGS);
	}

	private ClaimsState foldFromHead(int headOffset) {
		final ClaimsReducer reducer = new ClaimsReducer();
		ClaimsState state = reducer.initial();
		for (final LogEntry entry : this.entries.subList(headOffset, this.entries.size())) {
			try {
				for (final LogRecord record : RecordCodec.decode(entry.payloadBytes())) {
					state = reducer.apply(state, entry.offset(), record).state();
				}
			}
			catch (CorruptRecordException ex) {
				throw new IllegalStateException(ex);
			}
		}
		return state;
	}

	private static KeyClaim claim(int booking) {
		return new KeyClaim("shop", "k-" + booking, "digest", 0, FOREVER_MILLIS);
	}

	private static StreamFollower<ClaimsState> follower() {
		return new StreamFollower<>(new ClaimsReducer(), new ClaimsSnapshotCodec(), FollowerListener.NONE);
	}

	private long append(RecordBody body) {
		final long offset = this.entries.size();
		this.entries.add(new LogEntry(offset, offset + 1,
				RecordCodec.encode(List.of(new LogRecord("daemon", offset + 1, LogRecord.CURRENT_SCHEMA, body)))));
		return offset;
	}

	private LogPage page(int headOffset) {
		return new LogPage(headOffset, this.entries.size(), this.entries.subList(headOffset, this.entries.size()));
	}

}
