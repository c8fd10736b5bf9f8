package org.pistachioline.daemon.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.peer.PeerTable;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;
import org.pistachioline.protocol.peer.StallNotice;

/**
 * Exchanges heartbeats with peers by gossip: each heartbeat goes to a few random peers
 * and carries a sample of what this daemon knows, so that all daemons learn of all
 * others.
 */
public final class PeerDuty implements Lifecycle, DutyHandler<PeerFrame> {

	private static final int RING_CAPACITY = 1024;

	private static final int HEARTBEAT_FAN_OUT = 2;

	private static final int IMMEDIATE_FAN_OUT = 16;

	/**
	 * Requests an immediate heartbeat from the duty; frames from the network that look
	 * like it are dropped before they reach the duty.
	 */
	private static final PeerFrame HEARTBEAT_NOW = PeerFrame.getDefaultInstance();

	private static final int LIVENESS_HEARTBEATS = 8;

	private final Supplier<PeerStatus> self;

	private final Supplier<List<String>> seeds;

	private final PeerTable table;

	private final Duty<PeerFrame> duty;

	private final PeerTransport transport;

	private volatile Consumer<PeerFrame> checkpointReceiver = (frame) -> {
	};

	private volatile Consumer<PeerFrame> presenceReceiver = (frame) -> {
	};

	private volatile Consumer<PeerFrame> claimReceiver = (frame) -> {
	};

	private volatile Consumer<PeerFrame> listingReceiver = (frame) -> {
	};

	private volatile Consumer<String> stallListener = (targetId) -> {
	};

	private final List<HeartbeatExchange> exchanges = new CopyOnWriteArrayList<>();

	private volatile Consumer<List<PeerStatus>> peersListener = (peers) -> {
	};

	private final AtomicReference<List<PeerStatus>> livePeers = new AtomicReference<>(List.of());

	/**
	 * Creates a duty that is not started yet.
	 * @param system the process's actor system
	 * @param transport creates the transport for a given frame receiver
	 * @param selfId this daemon's id
	 * @param self supplies this daemon's current status
	 * @param seeds supplies the addresses of daemons to contact first
	 * @param heartbeatMillis the heartbeat interval
	 */
	public PeerDuty(ActorSystem<?> system, Function<Consumer<PeerFrame>, PeerTransport> transport, String selfId,
			Supplier<PeerStatus> self, Supplier<List<String>> seeds, long heartbeatMillis) {
		this.self = self;
		this.seeds = seeds;
		this.table = new PeerTable(selfId, Duration.ofMillis(LIVENESS_HEARTBEATS * heartbeatMillis).toNanos());
		this.duty = new Duty<>(system, "peers", RING_CAPACITY, Duration.ofMillis(heartbeatMillis), this);
		// A frame is dropped when the ring is full; the next heartbeat carries newer
		// data.
		this.transport = transport.apply(this::onFrame);
	}

	@Override
	public void start() {
		this.transport.start();
		this.duty.start();
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
	}

	@Override
	public void stop() {
		this.duty.stop();
		this.transport.stop();
	}

	/**
	 * Returns the live daemons, including this one.
	 * @return the latest known status of each
	 */
	public List<PeerStatus> liveDaemons() {
		final List<PeerStatus> daemons = new ArrayList<>(this.livePeers.get());
		daemons.add(this.self.get());
		return daemons;
	}

	/**
	 * Returns the live daemons other than this one.
	 * @return the latest known status of each
	 */
	public List<PeerStatus> livePeers() {
		return this.livePeers.get();
	}

	/**
	 * Sets the listener for the status of the other daemons. Must be called before the
	 * start.
	 * @param listener receives the latest status of each live one, after each relevant
	 * change and at each heartbeat; it must not block
	 */
	public void setPeersListener(Consumer<List<PeerStatus>> listener) {
		this.peersListener = listener;
	}

	/**
	 * Returns the ids of the live daemons that are not leaving, including this one.
	 * @return the ids, sorted
	 */
	public Set<String> activeDaemonIds() {
		return liveDaemons().stream()
			.filter((daemon) -> !daemon.leaving())
			.map(PeerStatus::daemonId)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	/**
	 * Returns the ids of the live daemons that are leaving, possibly including this one.
	 * @return the ids
	 */
	public Set<String> leavingDaemonIds() {
		return liveDaemons().stream()
			.filter(PeerStatus::leaving)
			.map(PeerStatus::daemonId)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the address on which this daemon listens for peers.
	 * @return the address, as host and port
	 */
	public String localAddress() {
		return this.transport.localAddress();
	}

	/**
	 * Sets the receiver of frames that request or carry checkpoints.
	 * @param receiver receives the frames; it must not block
	 */
	public void setCheckpointReceiver(Consumer<PeerFrame> receiver) {
		this.checkpointReceiver = receiver;
	}

	/**
	 * Sets the receiver of frames about request claims.
	 * @param receiver receives the frames; it must not block
	 */
	public void setClaimReceiver(Consumer<PeerFrame> receiver) {
		this.claimReceiver = receiver;
	}

	/**
	 * Returns the transport, whose traffic is exported as metrics.
	 * @return the transport
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Sets the receiver of frames about the presence of instances.
	 * @param receiver receives the frames; it must not block
	 */
	public void setPresenceReceiver(Consumer<PeerFrame> receiver) {
		this.presenceReceiver = receiver;
	}

	/**
	 * Sets the receiver of frames about the list of instances. It is called on the
	 * transport's thread.
	 * @param receiver receives the frames; it must not block
	 */
	public void setListingReceiver(Consumer<PeerFrame> receiver) {
		this.listingReceiver = receiver;
	}

	/**
	 * Sets the listener for targets at which requests of other daemons have stalled.
	 * @param receiver receives the target's id; it must not block
	 */
	public void setStallListener(Consumer<String> receiver) {
		this.stallListener = receiver;
	}

	/**
	 * Notifies all other live daemons that requests have stalled at a target. Only the
	 * planner acts on the notice, and it may have no request at that target itself.
	 * @param targetId the target
	 */
	public void broadcastStall(String targetId) {
		final PeerFrame frame = PeerFrame.newBuilder()
			.setStallNotice(StallNotice.newBuilder().addTargetIds(targetId))
			.build();
		broadcast(frame);
	}

	/**
	 * Sends a frame to a live daemon. The frame is dropped if the daemon is not live or
	 * its connection cannot accept it.
	 * @param daemonId the daemon
	 * @param frame the frame
	 */
	public void send(String daemonId, PeerFrame frame) {
		this.livePeers.get()
			.stream()
			.filter((peer) -> peer.daemonId().equals(daemonId))
			.findFirst()
			.ifPresent((peer) -> this.transport.send(peer.peerAddress(), frame));
	}

	/**
	 * Adds a kind of state that heartbeats carry. Must be called before the start.
	 * @param exchange the kind of state
	 */
	public void addExchange(HeartbeatExchange exchange) {
		this.exchanges.add(exchange);
	}

	/**
	 * Sends a frame to all other live daemons. Frames that a connection cannot accept are
	 * dropped.
	 * @param frame the frame
	 */
	public void broadcast(PeerFrame frame) {
		this.livePeers.get().forEach((peer) -> this.transport.send(peer.peerAddress(), frame));
	}

	private void onFrame(PeerFrame frame) {
		if (frame.hasListingQuestion() || frame.hasListingAnswer()) {
			this.listingReceiver.accept(frame);
		}
		else if (frame.getBodyCase() != PeerFrame.BodyCase.BODY_NOT_SET) {
			this.duty.offer(frame);
		}
	}

	@Override
	public void onMessage(PeerFrame frame) {
		if (frame.getBodyCase() == PeerFrame.BodyCase.BODY_NOT_SET) {
			sendHeartbeat(IMMEDIATE_FAN_OUT);
			return;
		}
		if (frame.hasPresenceQuestion() || frame.hasPresenceAnswer()) {
			this.presenceReceiver.accept(frame);
			return;
		}
		if (frame.hasClaimQuestion() || frame.hasClaimAnswer() || frame.hasClaimNote() || frame.hasClaimReceipt()) {
			this.claimReceiver.accept(frame);
			return;
		}
		if (frame.hasCheckpointRequest() || frame.hasCheckpointReply()) {
			this.checkpointReceiver.accept(frame);
			return;
		}
		if (frame.hasStallNotice()) {
			frame.getStallNotice().getTargetIdsList().forEach(this.stallListener);
			return;
		}
		final long nowNanos = System.nanoTime();
		if (!frame.hasHeartbeat()) {
			this.exchanges.forEach((exchange) -> exchange.onNotice(frame, nowNanos));
			return;
		}
		final PeerStatus sender = PeerCodec.decode(frame.getHeartbeat().getSender());
		if (!this.table.isLive(sender, nowNanos)) {
			this.exchanges.forEach((exchange) -> exchange.greeting(nowNanos)
				.ifPresent((greeting) -> this.transport.send(sender.peerAddress(), greeting)));
		}
		merge(sender, nowNanos);
		frame.getHeartbeat().getKnownList().forEach((status) -> merge(PeerCodec.decode(status), nowNanos));
		frame.getHeartbeat().getNewsList().forEach((news) -> {
			if (this.table.merge(PeerCodec.decode(news), nowNanos)) {
				Events.log(EventId.PEER_DISCOVERED, "daemon", news.getDaemonId());
			}
		});
		this.exchanges.forEach((exchange) -> exchange.onHeartbeat(sender, frame.getHeartbeat(), nowNanos));
		// Updates without a relevant change are published at the next tick.
		if (this.table.takeChanged()) {
			updateLivePeers(this.table.live(nowNanos));
		}
	}

	private void merge(PeerStatus status, long nowNanos) {
		if (this.table.merge(status, nowNanos)) {
			Events.log(EventId.PEER_DISCOVERED, "daemon", status.daemonId(), "address", status.peerAddress());
		}
	}

	@Override
	public void onTick() {
		updateLivePeers(this.table.live(System.nanoTime()));
		sendHeartbeat(HEARTBEAT_FAN_OUT);
	}

	private void updateLivePeers(List<PeerStatus> currentPeers) {
		dropLostPeers(currentPeers);
		this.livePeers.set(currentPeers);
		this.peersListener.accept(currentPeers);
	}

	// Nothing is received on the connection to a peer, so it may have fallen silent; what
	// is sent to the address later goes over a new one.
	private void dropLostPeers(List<PeerStatus> currentPeers) {
		final Set<String> currentIds = currentPeers.stream().map(PeerStatus::daemonId).collect(Collectors.toSet());
		for (final PeerStatus previous : this.livePeers.get()) {
			if (!currentIds.contains(previous.daemonId())) {
				Events.log(EventId.PEER_LOST, "daemon", previous.daemonId(), "address", previous.peerAddress());
				this.transport.disconnect(previous.peerAddress());
			}
		}
	}

	/**
	 * Sends a heartbeat to many peers without waiting for the next tick, so that they
	 * learn of a change immediately.
	 */
	public void sendHeartbeat() {
		this.duty.offer(HEARTBEAT_NOW);
	}

	private void sendHeartbeat(int fanOut) {
		final PeerStatus status = this.self.get();
		final long nowNanos = System.nanoTime();
		final Heartbeat.Builder heartbeat = PeerCodec.heartbeat(status, this.table.sample(nowNanos));
		this.exchanges.forEach((exchange) -> exchange.addTo(heartbeat, nowNanos));
		final PeerFrame frame = PeerFrame.newBuilder().setHeartbeat(heartbeat).build();
		final Set<String> addresses = new TreeSet<>(this.seeds.get());
		this.livePeers.get().forEach((peer) -> addresses.add(peer.peerAddress()));
		addresses.remove(status.peerAddress());
		final List<String> recipients = new ArrayList<>(addresses);
		Collections.shuffle(recipients, ThreadLocalRandom.current());
		recipients.stream().limit(fanOut).forEach((address) -> this.transport.send(address, frame));
	}

}
