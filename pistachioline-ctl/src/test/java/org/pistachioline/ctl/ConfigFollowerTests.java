package org.pistachioline.ctl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.codec.ConfigSnapshotCodec;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.AppendException;
import org.pistachioline.adapters.platform.AppendFailure;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.RejectReason;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ConfigFollowerTests {

	private static final long LONG_NANOS = TimeUnit.HOURS.toNanos(1);

	private final Log log = new Log();

	private static LogRecord proposal(String writer, long baseVersion) {
		return new LogRecord(writer, 1, 1, new ManifestProposal(baseVersion, Manifest.EMPTY));
	}

	private Optional<ConfigFollower.Verdict> publish(LogRecord record) {
		return new ConfigFollower(this.log, "configuration").append(record, LONG_NANOS);
	}

	// Two operators publish on the same base. The one who lost must hear which version is
	// in force now, and not believe that his limits are.
	@Test
	void theOperatorWhoLostARaceIsToldTheVersionThatBeatHim() {
		this.log.land(proposal("rival", 0));
		final ConfigFollower.Verdict verdict = publish(proposal("us", 0)).orElseThrow();
		assertThat(verdict.rejection()).contains(RejectReason.STALE_BASE);
		assertThat(verdict.state().version()).isEqualTo(1);
	}

	// The answer is lost after the manifest took effect. An operator who is told that it
	// failed publishes again and is beaten by himself.
	@Test
	void aManifestWhoseAnswerWasLostIsFoundOnTheLog() {
		this.log.fates.add(Fate.LANDS_AND_ANSWER_LOST);
		final ConfigFollower.Verdict verdict = publish(proposal("us", 0)).orElseThrow();
		assertThat(verdict.rejection()).isEmpty();
		assertThat(this.log.entries).hasSize(1);
	}

	@Test
	void aManifestThatWasLostOnTheWayIsAppendedAgain() {
		this.log.fates.addAll(List.of(Fate.LOST, Fate.REFUSED));
		final ConfigFollower.Verdict verdict = publish(proposal("us", 0)).orElseThrow();
		assertThat(verdict.rejection()).isEmpty();
		assertThat(verdict.state().version()).isEqualTo(1);
	}

	@Test
	void aFirstAppendThatIsRefusedIsToldAtOnce() {
		this.log.fates.add(Fate.REFUSED);
		assertThatThrownBy(() -> publish(proposal("us", 0))).isInstanceOf(CompletionException.class);
	}

	// The last manifest is older than the log's retention. Without the checkpoint every
	// operator would be told that version 0 is in force, and none could publish.
	@Test
	void afterTheRetentionAManifestIsFoldedOnTopOfTheCheckpoint() {
		final ConfigState before = new ConfigReducer().apply(ConfigState.EMPTY, 0, proposal("old", 0)).state();
		this.log.land(proposal("old", 0));
		this.log
			.land(new LogRecord("daemon", 1, 1, new CheckpointPart(0, 0, 1, new ConfigSnapshotCodec().encode(before))));
		this.log.headOffset = 1;
		final ConfigFollower.Verdict verdict = publish(proposal("us", 1)).orElseThrow();
		assertThat(verdict.rejection()).isEmpty();
		assertThat(verdict.state().version()).isEqualTo(2);
	}

	private enum Fate {

		LANDS_AND_ANSWER_LOST, LOST, REFUSED

	}

	/**
	 * A log in memory whose next appends meet given fates.
	 */
	private static final class Log implements LogService {

		private final List<LogEntry> entries = new ArrayList<>();

		private final Deque<Fate> fates = new ArrayDeque<>();

		private int headOffset;

		long land(LogRecord record) {
			return land(RecordCodec.encode(List.of(record)));
		}

		private long land(byte[] payloadBytes) {
			this.entries.add(new LogEntry(this.entries.size(), 1, payloadBytes));
			return this.entries.size() - 1L;
		}

		@Override
		public CompletableFuture<Long> append(String stream, byte[] payloadBytes) {
			final Fate fate = this.fates.poll();
			if (fate == null) {
				return CompletableFuture.completedFuture(land(payloadBytes));
			}
			if (fate == Fate.LANDS_AND_ANSWER_LOST) {
				land(payloadBytes);
			}
			final AppendFailure failure = (fate == Fate.REFUSED) ? AppendFailure.REFUSED : AppendFailure.AMBIGUOUS;
			return CompletableFuture.failedFuture(new AppendException(failure, "fate", null));
		}

		@Override
		public CompletableFuture<LogPage> read(String stream, long fromOffset, long waitMillis) {
			final int from = (int) Math.max(fromOffset, this.headOffset);
			return CompletableFuture.completedFuture(new LogPage(this.headOffset, this.entries.size(),
					this.entries.subList(Math.min(from, this.entries.size()), this.entries.size())));
		}

	}

}
