package org.pistachioline.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.propagation.CopyCandidates;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.daemon.agreed.StreamSnapshot;
import org.pistachioline.daemon.port.ConfigurationCopy;
import org.pistachioline.daemon.port.RouteSource;
import org.pistachioline.protocol.peer.CheckpointReply;
import org.pistachioline.protocol.peer.CheckpointRequest;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Copies a newer configuration from another daemon if the platform has not provided it,
 * and provides this daemon's to others. It is passed in the parts of a checkpoint, with
 * the version in place of the offset.
 * <p>
 * The platform turns single daemons away, does not answer them, or has come back with an
 * older configuration, for as long as its trouble lasts. A daemon first waits for its own
 * read, which usually ends within milliseconds of all others', so that in a large fleet a
 * change is not followed by a copy for each daemon. As the copies that one daemon
 * provides per second are limited, daemons that have received theirs share the rest.
 * <p>
 * All methods are called on the thread of the peer duty.
 */
public final class ConfigurationTransfer {

	private static final String STREAM = "configuration";

	/** Longer than reads of all daemons usually differ. */
	private static final long OWN_READ_MILLIS = 200;

	private static final long REPLY_TIMEOUT_NANOS = Duration.ofMillis(550).toNanos();

	private static final long WINDOW_NANOS = Duration.ofSeconds(1).toNanos();

	private static final int MAX_COPIES_PER_WINDOW = 16;

	/** With the size of a part, 4 MiB: far more than one record of the platform. */
	private static final int MAX_PARTS = 16;

	private final BiConsumer<String, PeerFrame> sender;

	private final String selfId;

	private final RouteSource routes;

	private final Supplier<VersionLag> lag;

	private final CheckpointProvider provider;

	private Optional<CheckpointFetch> fetch = Optional.empty();

	private String askedLast = "";

	private long windowStartNanos;

	private int copiesInWindow;

	/**
	 * Creates a transfer.
	 * @param sender sends a frame to the daemon with the given id
	 * @param selfId this daemon's id
	 * @param routes holds this daemon's configuration and receives newer ones
	 * @param lag supplies how far this daemon is behind
	 */
	public ConfigurationTransfer(BiConsumer<String, PeerFrame> sender, String selfId, RouteSource routes,
			Supplier<VersionLag> lag) {
		this.sender = sender;
		this.selfId = selfId;
		this.routes = routes;
		this.lag = lag;
		this.provider = new CheckpointProvider(() -> routes.copy().map(ConfigurationTransfer::toSnapshot),
				Duration.ZERO);
		this.windowStartNanos = System.nanoTime();
	}

	private static StreamSnapshot toSnapshot(ConfigurationCopy copy) {
		return new StreamSnapshot(copy.version(), copy.content(), CheckpointCoverage.NONE);
	}

	/**
	 * Requests a copy if this daemon has been behind for a while.
	 * @param livePeers the latest status of the other daemons
	 */
	public void onPeers(List<PeerStatus> livePeers) {
		final long nowNanos = System.nanoTime();
		this.provider.expire(nowNanos);
		final VersionLag current = this.lag.get();
		final boolean waiting = this.fetch.isPresent()
				&& nowNanos - this.fetch.get().requestedAtNanos() < REPLY_TIMEOUT_NANOS;
		if (waiting || !current.isBehind() || current.behindMillis() < OWN_READ_MILLIS) {
			return;
		}
		this.fetch = CopyCandidates.choose(livePeers, current.inForce(), this.askedLast, ThreadLocalRandom.current())
			.map((holder) -> new CheckpointFetch(STREAM, this.selfId, holder, minNextOffset(current)));
		this.fetch.ifPresent((started) -> {
			this.askedLast = started.peerId();
			request(started, nowNanos);
		});
	}

	// The lowest acceptable version is the one after that in force, and the next offset
	// is one more.
	private static long minNextOffset(VersionLag current) {
		return current.inForce() + 2;
	}

	private void request(CheckpointFetch from, long nowNanos) {
		this.sender.accept(from.peerId(),
				PeerFrame.newBuilder().setCheckpointRequest(from.nextRequest(nowNanos)).build());
	}

	/**
	 * Handles a request for a copy, or a part of one.
	 * @param frame the frame
	 */
	public void onFrame(PeerFrame frame) {
		if (frame.hasCheckpointRequest() && frame.getCheckpointRequest().getStream().equals(STREAM)) {
			onRequest(frame.getCheckpointRequest(), System.nanoTime());
		}
		else if (frame.hasCheckpointReply() && frame.getCheckpointReply().getStream().equals(STREAM)) {
			onReply(frame.getCheckpointReply());
		}
	}

	private void onRequest(CheckpointRequest request, long nowNanos) {
		final CheckpointReply reply = mayProvide(request, nowNanos) ? this.provider.respond(request, nowNanos)
				: CheckpointReply.newBuilder().setStream(STREAM).setPart(request.getPart()).build();
		this.sender.accept(request.getRequesterId(),
				PeerFrame.newBuilder().setCheckpointReply(reply.toBuilder().setSenderId(this.selfId)).build());
	}

	private boolean mayProvide(CheckpointRequest request, long nowNanos) {
		if (request.getPart() > 0) {
			return true;
		}
		if (nowNanos - this.windowStartNanos >= WINDOW_NANOS) {
			this.windowStartNanos = nowNanos;
			this.copiesInWindow = 0;
		}
		this.copiesInWindow++;
		return this.copiesInWindow <= MAX_COPIES_PER_WINDOW;
	}

	private void onReply(CheckpointReply reply) {
		final CheckpointFetch current = this.fetch.orElse(null);
		if (current == null || !current.peerId().equals(reply.getSenderId())) {
			return;
		}
		final CheckpointFetch.Progress progress = (reply.getParts() > MAX_PARTS) ? CheckpointFetch.Progress.FAILED
				: current.onReply(reply);
		switch (progress) {
			case INCOMPLETE -> request(current, System.nanoTime());
			case FAILED -> endFetch();
			case COMPLETE -> {
				endFetch();
				current.snapshot()
					.ifPresent((whole) -> this.routes
						.offer(new ConfigurationCopy(whole.throughOffset(), whole.stateBytes()), current.peerId()));
			}
		}
	}

	private void endFetch() {
		this.fetch = Optional.empty();
	}

}
