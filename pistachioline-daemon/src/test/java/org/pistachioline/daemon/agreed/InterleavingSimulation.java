package org.pistachioline.daemon.agreed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

import org.pistachioline.adapters.codec.SnapshotCodec;
import org.pistachioline.adapters.platform.AppendFailure;
import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.adapters.stream.FollowerListener;
import org.pistachioline.adapters.stream.StreamFollower;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.stream.StreamCondition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates several daemons on one stream, one step per number, with appends that are
 * lost, duplicated, delayed and reordered, records that expire and daemons that are
 * replaced.
 * <p>
 * A reader that sees every record from the first on provides the expected state at each
 * offset; after every step the state of every daemon is compared with it.
 *
 * @param <S> the type of state
 */
final class InterleavingSimulation<S> {

	private static final int DAEMONS = 3;

	private static final int ACTIONS = 12;

	private static final long STEP_NANOS = 10_000_000_000L;

	private final FakeLog log = new FakeLog();

	private final Reducer<S> reducer;

	private final SnapshotCodec<S> codec;

	private final BiFunction<S, Integer, RecordBody> proposalFactory;

	private final List<Node> nodes = new ArrayList<>();

	private final List<byte[]> delayedAppends = new ArrayList<>();

	private final StreamFollower<S> observer;

	private final List<S> history = new ArrayList<>();

	private int incarnations;

	private long nowNanos;

	InterleavingSimulation(Reducer<S> reducer, SnapshotCodec<S> codec, BiFunction<S, Integer, RecordBody> bodies) {
		this.reducer = reducer;
		this.codec = codec;
		this.proposalFactory = bodies;
		this.observer = new StreamFollower<>(reducer, codec, FollowerListener.NONE);
		this.history.add(reducer.initial());
		for (int i = 0; i < DAEMONS; i++) {
			this.nodes.add(new Node());
		}
	}

	List<S> history() {
		return this.history;
	}

	void step(int number) {
		this.nowNanos += STEP_NANOS;
		final Node node = this.nodes.get(number % DAEMONS);
		final int choice = number / DAEMONS / ACTIONS;
		switch (number / DAEMONS % ACTIONS) {
			case 0, 1, 2 -> node.propose(choice);
			case 3, 4 -> node.append(choice);
			case 5, 6, 7 -> node.read(1 + choice % 4);
			case 8 -> deliverDelayedAppend(choice);
			case 9 -> node.checkpoint();
			case 10 -> expire(choice);
			default -> replaceDaemon(number % DAEMONS, choice);
		}
		observe();
		this.nodes.forEach(Node::check);
	}

	void converge() {
		while (!this.delayedAppends.isEmpty()) {
			deliverDelayedAppend(0);
		}
		observe();
		for (final Node node : this.nodes) {
			for (long i = 0; i <= 2 * this.log.endOffset(); i++) {
				node.read(4);
			}
			node.check();
		}
	}

	private void deliverDelayedAppend(int choice) {
		if (!this.delayedAppends.isEmpty()) {
			this.log.append(this.delayedAppends.remove(choice % this.delayedAppends.size()));
		}
	}

	// Expires records. In one case of four, records that no checkpoint covers expire too.
	private void expire(int choice) {
		final long covered = this.observer.cover().throughOffset() + 1;
		this.log.expireBelow((choice % 4 == 0) ? Math.min(this.log.endOffset(), covered + 2) : covered);
	}

	private void replaceDaemon(int index, int choice) {
		final Node replaced = new Node();
		final Node peer = this.nodes.get((index + 1) % DAEMONS);
		// In half of the cases the daemon restores a checkpoint of a peer, as if the log
		// were down.
		if (choice % 2 == 0 && peer.follower.condition() == StreamCondition.WHOLE) {
			replaced.follower.restore(peer.follower.nextOffset() - 1, this.codec.encode(peer.follower.state()),
					peer.follower.cover());
		}
		this.nodes.set(index, replaced);
	}

	private void observe() {
		for (long offset = this.history.size() - 1L; offset < this.log.endOffset(); offset++) {
			final long from = offset;
			this.observer.onPage(new org.pistachioline.adapters.platform.LogPage(0, from + 1,
					this.log.readUnexpired(from).entries().subList(0, 1)));
			this.history.add(this.observer.state());
		}
	}

	/**
	 * One daemon that appends to and follows the stream.
	 */
	private final class Node implements FollowerListener {

		private final String writer = "daemon#" + InterleavingSimulation.this.incarnations++;

		private final Outbox outbox = new Outbox(this.writer, 0);

		private final StreamFollower<S> follower = new StreamFollower<>(InterleavingSimulation.this.reducer,
				InterleavingSimulation.this.codec, this);

		private long highestOffset;

		void propose(int choice) {
			if (this.follower.condition() == StreamCondition.WHOLE) {
				this.outbox.add(InterleavingSimulation.this.proposalFactory.apply(this.follower.state(), choice),
						new CompletableFuture<>());
			}
		}

		void append(int choice) {
			if (!this.outbox.isAppendDue(InterleavingSimulation.this.nowNanos)) {
				return;
			}
			final byte[] entry = this.outbox.beginAppend();
			final int outcome = choice % 6;
			final boolean storedNow = outcome == 0 || outcome == 1 || outcome == 2;
			final boolean storedLater = outcome == 2 || outcome == 3;
			if (storedNow) {
				InterleavingSimulation.this.log.append(entry);
			}
			if (storedLater) {
				InterleavingSimulation.this.delayedAppends.add(entry);
			}
			final Optional<AppendFailure> failure = (outcome == 0) ? Optional.empty()
					: Optional.of((outcome == 5) ? AppendFailure.REFUSED : AppendFailure.AMBIGUOUS);
			this.outbox.onAppendCompleted(failure, InterleavingSimulation.this.nowNanos, 0.5);
		}

		void read(int maxEntries) {
			this.follower.onPage(InterleavingSimulation.this.log.read(this.follower.readOffset(), maxEntries));
		}

		void checkpoint() {
			if (this.follower.condition() == StreamCondition.WHOLE && this.follower.nextOffset() > 0) {
				CheckpointParts
					.cut(this.follower.nextOffset() - 1,
							InterleavingSimulation.this.codec.encode(this.follower.state()))
					.forEach((part) -> this.outbox.add(part, new CompletableFuture<>()));
			}
		}

		void check() {
			assertThat(this.follower.nextOffset()).isGreaterThanOrEqualTo(this.highestOffset);
			this.highestOffset = this.follower.nextOffset();
			assertThat(this.follower.state())
				.isEqualTo(InterleavingSimulation.this.history.get((int) this.follower.nextOffset()));
		}

		@Override
		public void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection) {
			if (record.writer().equals(this.writer)) {
				this.outbox.onFolded(record.sequence(), new RecordVerdict(offset, rejection));
			}
		}

		@Override
		public void onNote(EventId event, long offset, String detail) {
		}

	}

}
