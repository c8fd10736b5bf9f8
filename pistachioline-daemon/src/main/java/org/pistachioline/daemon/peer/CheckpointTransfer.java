package org.pistachioline.daemon.peer;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.StreamView;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.protocol.peer.CheckpointReply;
import org.pistachioline.protocol.peer.CheckpointRequest;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Takes checkpoints from peers where the log cannot help, and gives them to peers.
 * <p>
 * A stream asks while it has no whole state, or while the log cannot be read and a peer
 * has read further. The peer with the highest offset is asked first. Nothing older than
 * the highest offset that any peer has told is taken, since a configuration that was in
 * force there must not revert here.
 */
public final class CheckpointTransfer implements Lifecycle, DutyHandler<PeerFrame> {

	private static final int RING_CAPACITY = 64;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

	private static final long REPLY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final PeerDuty peers;

	private final String selfId;

	private final Map<String, ExchangedStream> streams = new LinkedHashMap<>();

	private final Map<String, CheckpointProvider> providers = new HashMap<>();

	private final Map<String, CheckpointFetch> fetches = new HashMap<>();

	private final Map<String, Long> highestReportedOffsets = new HashMap<>();

	private final Duty<PeerFrame> duty;

	private int peerRotation;

	/**
	 * Creates the transfer.
	 * @param system the process's actor system
	 * @param peers carries the frames
	 * @param selfId this daemon's name
	 * @param streams the streams whose checkpoints are exchanged
	 */
	public CheckpointTransfer(ActorSystem<?> system, PeerDuty peers, String selfId, List<ExchangedStream> streams) {
		this.peers = peers;
		this.selfId = selfId;
		for (final ExchangedStream exchanged : streams) {
			this.streams.put(exchanged.stream().stream(), exchanged);
			this.providers.put(exchanged.stream().stream(), new CheckpointProvider(exchanged.stream()::snapshot));
		}
		this.duty = new Duty<>(system, "checkpoint-transfer", RING_CAPACITY, TICK_INTERVAL, this);
	}

	@Override
	public void start() {
		this.duty.start();
		// Without room a frame is dropped: the one who asked asks again.
		this.peers.setCheckpointReceiver(this.duty::offer);
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		final List<PeerStatus> others = this.peers.livePeers();
		this.providers.values().forEach((offer) -> offer.expire(nowNanos));
		this.streams.values().forEach((exchanged) -> fetchIfNeeded(exchanged, others, nowNanos));
	}

	private void fetchIfNeeded(ExchangedStream exchanged, List<PeerStatus> others, long nowNanos) {
		final String stream = exchanged.stream().stream();
		final long told = others.stream().mapToLong(exchanged.reportedOffset()).max().orElse(0);
		final long floorOffset = this.highestReportedOffsets.merge(stream, told, Math::max);
		final CheckpointFetch running = this.fetches.get(stream);
		if (running != null && nowNanos - running.requestedAtNanos() < REPLY_TIMEOUT_NANOS) {
			return;
		}
		this.fetches.remove(stream);
		final StreamView<?> view = exchanged.stream().view();
		final boolean behind = view.complete() && !view.logReachable() && told > view.nextOffset();
		if (view.needsCheckpoint() || behind) {
			startFetch(exchanged, others, Math.max(floorOffset, view.nextOffset()), nowNanos);
		}
	}

	private void startFetch(ExchangedStream exchanged, List<PeerStatus> others, long floorOffset, long nowNanos) {
		final List<PeerStatus> furthest = others.stream()
			.filter((peer) -> peer.configOffset() > 0)
			.sorted(Comparator.comparingLong(exchanged.reportedOffset()).reversed())
			.filter((peer) -> exchanged.reportedOffset().applyAsLong(peer) == 0
					|| exchanged.reportedOffset().applyAsLong(peer) >= floorOffset)
			.toList();
		if (furthest.isEmpty()) {
			return;
		}
		final String stream = exchanged.stream().stream();
		final String peerId = furthest.get(Math.floorMod(this.peerRotation++, furthest.size())).daemonId();
		final CheckpointFetch fetch = new CheckpointFetch(stream, this.selfId, peerId, floorOffset);
		this.fetches.put(stream, fetch);
		sendRequest(fetch, nowNanos);
	}

	private void sendRequest(CheckpointFetch fetch, long nowNanos) {
		this.peers.send(fetch.peerId(),
				PeerFrame.newBuilder().setCheckpointRequest(fetch.nextRequest(nowNanos)).build());
	}

	@Override
	public void onMessage(PeerFrame frame) {
		if (frame.hasCheckpointRequest()) {
			onRequest(frame.getCheckpointRequest());
		}
		else if (frame.hasCheckpointReply()) {
			onReply(frame.getCheckpointReply());
		}
	}

	private void onRequest(CheckpointRequest request) {
		final CheckpointProvider offer = this.providers.get(request.getStream());
		if (offer == null) {
			return;
		}
		final CheckpointReply reply = offer.respond(request, System.nanoTime())
			.toBuilder()
			.setSenderId(this.selfId)
			.build();
		this.peers.send(request.getRequesterId(), PeerFrame.newBuilder().setCheckpointReply(reply).build());
	}

	private void onReply(CheckpointReply reply) {
		final CheckpointFetch fetch = this.fetches.get(reply.getStream());
		if (fetch == null || !fetch.peerId().equals(reply.getSenderId())) {
			return;
		}
		switch (fetch.onReply(reply)) {
			case INCOMPLETE -> sendRequest(fetch, System.nanoTime());
			case FAILED -> this.fetches.remove(reply.getStream());
			case COMPLETE -> {
				this.fetches.remove(reply.getStream());
				Events.log(EventId.CHECKPOINT_FETCHED, "stream", reply.getStream(), "peer", fetch.peerId(),
						"through_offset", reply.getThroughOffset());
				fetch.snapshot().ifPresent(this.streams.get(reply.getStream()).stream()::restore);
			}
		}
	}

}
