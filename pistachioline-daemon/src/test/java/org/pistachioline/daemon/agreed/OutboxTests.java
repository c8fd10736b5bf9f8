package org.pistachioline.daemon.agreed;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.codec.ConfigSnapshotCodec;
import org.pistachioline.adapters.platform.AppendFailure;
import org.pistachioline.adapters.stream.FollowerListener;
import org.pistachioline.adapters.stream.StreamFollower;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.RejectReason;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

class OutboxTests {

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final String WRITER = "daemon#1";

	private final FakeLog log = new FakeLog();

	private final Outbox outbox = new Outbox(WRITER, 0);

	private final StreamFollower<ConfigState> follower = new StreamFollower<>(new ConfigReducer(),
			new ConfigSnapshotCodec(), new FollowerListener() {

				@Override
				public void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection) {
					if (record.writer().equals(WRITER)) {
						OutboxTests.this.outbox.onFolded(record.sequence(), new RecordVerdict(offset, rejection));
					}
				}

				@Override
				public void onNote(EventId event, long offset, String detail) {
				}

			});

	private CompletableFuture<RecordVerdict> propose(long baseVersion) {
		final CompletableFuture<RecordVerdict> verdict = new CompletableFuture<>();
		this.outbox.add(new ManifestProposal(baseVersion, Manifest.EMPTY), verdict);
		return verdict;
	}

	private void completeAppend(AppendFailure failure) {
		this.outbox.onAppendCompleted(Optional.ofNullable(failure), 0, 0.5);
	}

	private void fold() {
		this.follower.onPage(this.log.read(this.follower.readOffset(), Integer.MAX_VALUE));
	}

	private static ErrorKind kindOf(CompletableFuture<RecordVerdict> verdict) {
		final Throwable failure = catchThrowable(verdict::join);
		assertThat(failure).isInstanceOf(CompletionException.class);
		return ((PistachiolineException) failure.getCause()).kind();
	}

	// Guards against reporting a stored record as failed when only the response to its
	// append is lost: the planner would propose another record on top of it.
	@Test
	void anAppendWhoseResponseIsLostIsRecognizedOnTheStreamAndNotRetried() {
		final CompletableFuture<RecordVerdict> verdict = propose(0);
		this.log.append(this.outbox.beginAppend());
		completeAppend(AppendFailure.AMBIGUOUS);
		fold();
		assertThat(verdict).isCompletedWithValue(new RecordVerdict(0, Optional.empty()));
		assertThat(this.outbox.isAppendDue(10 * SECOND_NANOS)).isFalse();
	}

	// Guards against losing a record when its append fails without a response: it is
	// never folded unless it is sent again.
	@Test
	void anAppendThatWasNotStoredIsRetriedAfterABackoff() {
		final CompletableFuture<RecordVerdict> verdict = propose(0);
		this.outbox.beginAppend();
		completeAppend(AppendFailure.AMBIGUOUS);
		fold();
		assertThat(verdict).isNotDone();
		assertThat(this.outbox.isAppendDue(0)).isFalse();
		assertThat(this.outbox.isAppendDue(SECOND_NANOS)).isTrue();
		this.log.append(this.outbox.beginAppend());
		completeAppend(null);
		fold();
		assertThat(verdict.join().isAccepted()).isTrue();
	}

	// Guards against a delayed append that is stored after its retry and after a later
	// record: applied then, it would undo what followed it.
	@Test
	void aDelayedDuplicateAppendChangesNothing() {
		final CompletableFuture<RecordVerdict> first = propose(0);
		final byte[] delayed = this.outbox.beginAppend();
		completeAppend(AppendFailure.AMBIGUOUS);
		this.log.append(this.outbox.beginAppend());
		completeAppend(null);
		final CompletableFuture<RecordVerdict> second = propose(1);
		this.log.append(this.outbox.beginAppend());
		completeAppend(null);
		this.log.append(delayed);
		this.log.append(delayed);
		fold();
		assertThat(first.join().offset()).isZero();
		assertThat(second.join().offset()).isEqualTo(1);
		assertThat(this.follower.state().version()).isEqualTo(2);
		assertThat(this.follower.rejectedRecords()).isEqualTo(2);
	}

	// Guards against waiting forever for a record that every daemon skipped, for example
	// because its entry was damaged. Once a later record of the same writer is folded, it
	// can never take effect.
	@Test
	void aRecordOvertakenByALaterOneFailsAndIsIgnoredIfStoredAfterwards() {
		final CompletableFuture<RecordVerdict> lost = propose(0);
		final byte[] delayed = this.outbox.beginAppend();
		completeAppend(null);
		this.log.append(new byte[] { (byte) 0xff });
		final CompletableFuture<RecordVerdict> later = propose(0);
		this.log.append(this.outbox.beginAppend());
		completeAppend(null);
		fold();
		assertThat(kindOf(lost)).isEqualTo(ErrorKind.INTERNAL);
		assertThat(later.join().isAccepted()).isTrue();
		this.log.append(delayed);
		fold();
		assertThat(this.follower.state().acceptedOffset()).isEqualTo(1);
	}

	// Guards against an endless retry when the log's real limit is below the documented
	// one: an oversized batch would block all records behind it.
	@Test
	void aBatchThatTheLogFindsTooLargeIsSplitAndASingleRecordFails() {
		final CompletableFuture<RecordVerdict> first = propose(0);
		final CompletableFuture<RecordVerdict> second = propose(1);
		final int bothBytes = this.outbox.beginAppend().length;
		completeAppend(AppendFailure.TOO_LARGE);
		assertThat(this.outbox.isAppendDue(0)).isTrue();
		assertThat(this.outbox.beginAppend().length).isLessThan(bothBytes);
		completeAppend(AppendFailure.TOO_LARGE);
		assertThat(kindOf(first)).isEqualTo(ErrorKind.REQUEST_TOO_LARGE);
		this.log.append(this.outbox.beginAppend());
		completeAppend(null);
		fold();
		assertThat(second).isDone();
	}

	@Test
	void aRecordOverTheSizeLimitIsRejectedWithoutAnAppend() {
		final CompletableFuture<RecordVerdict> verdict = new CompletableFuture<>();
		this.outbox.add(new CheckpointPart(0, 0, 1, new byte[StreamFollower.MAX_ENTRY_BYTES]), verdict);
		assertThat(kindOf(verdict)).isEqualTo(ErrorKind.REQUEST_TOO_LARGE);
		assertThat(this.outbox.isAppendDue(0)).isFalse();
	}

	@Test
	void largeRecordsAreSplitIntoBatchesBelowTheSizeLimit() {
		for (int part = 0; part < 6; part++) {
			this.outbox.add(new CheckpointPart(0, part, 6, new byte[200 * 1024]), new CompletableFuture<>());
		}
		int appends = 0;
		while (this.outbox.isAppendDue(0)) {
			assertThat(this.outbox.beginAppend().length).isLessThanOrEqualTo(Outbox.MAX_BATCH_BYTES);
			completeAppend(null);
			appends++;
		}
		assertThat(appends).isEqualTo(3);
	}

	// Guards against memory that grows with the length of a log outage: over a day of
	// outage the queue stays bounded and callers get an immediate error that nothing was
	// appended.
	@Test
	void pendingRecordsAreBoundedInALongOutageAndSentWhenTheLogReturns() {
		long nowNanos = 0;
		int tries = 0;
		for (int second = 0; second < 86_400; second++) {
			propose(second);
			nowNanos += SECOND_NANOS;
			if (this.outbox.isAppendDue(nowNanos)) {
				this.outbox.beginAppend();
				this.outbox.onAppendCompleted(Optional.of(AppendFailure.REFUSED), nowNanos, 0.5);
				tries++;
			}
		}
		assertThat(this.outbox.pending()).isEqualTo(Outbox.MAX_PENDING_RECORDS);
		assertThat(kindOf(propose(0))).isEqualTo(ErrorKind.OVERLOADED);
		assertThat(tries).isLessThan(86_400);
		nowNanos += 4 * SECOND_NANOS;
		while (this.outbox.isAppendDue(nowNanos)) {
			this.log.append(this.outbox.beginAppend());
			this.outbox.onAppendCompleted(Optional.empty(), nowNanos, 0.5);
		}
		fold();
		assertThat(this.log.endOffset()).isEqualTo(Outbox.MAX_PENDING_RECORDS / Outbox.MAX_BATCH_RECORDS);
		assertThat(this.outbox.pending()).isZero();
	}

	// Guards against a stop that hangs because callers wait for records that will never
	// complete.
	@Test
	void stoppingFailsAllPendingRecords() {
		final CompletableFuture<RecordVerdict> verdict = propose(0);
		this.outbox.beginAppend();
		this.outbox.stop();
		assertThat(kindOf(verdict)).isEqualTo(ErrorKind.LEAVING);
		assertThat(this.outbox.pending()).isZero();
	}

	// Guards against waiting forever for a record that a restored checkpoint already
	// contains, as the verdict on it is lost.
	@Test
	void aRecordCoveredByARestoredCheckpointFails() {
		final CompletableFuture<RecordVerdict> covered = propose(0);
		final CompletableFuture<RecordVerdict> uncovered = propose(1);
		this.outbox.onRestored(1);
		assertThat(kindOf(covered)).isEqualTo(ErrorKind.INTERNAL);
		assertThat(uncovered).isNotDone();
	}

}
