package org.pistachioline.daemon.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.peer.PeerTable;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.protocol.peer.PeerFrame;
import org.pistachioline.protocol.peer.StallNotice;
import org.pistachioline.protocol.peer.WorkspaceUse;

/**
 * Tells a few peers at each beat what this daemon knows, so that all hear of all.
 */
public final class PeerDuty implements Lifecycle, DutyHandler<PeerFrame> {

	private static final int RING_CAPACITY = 1024;

	private static final int HEARTBEAT_FAN_OUT = 2;

	private static final int IMMEDIATE_FAN_OUT = 16;

	/** Asks the duty for a heartbeat out of turn; never taken from the network. */
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

	private volatile Supplier<Map<String, Double>> ownDemand = Map::of;

	private volatile BiConsumer<PeerStatus, Map<String, Double>> demandReceiver = (status, told) -> {
	};

	private volatile Supplier<List<AdvertisedLimit>> ownLimits = List::of;

	private volatile Consumer<List<AdvertisedLimit>> limitReceiver = (told) -> {
	};

	private final SuspectExchange suspectExchange = new SuspectExchange();

	private volatile long newestConfigVersion;

	private final AtomicReference<List<PeerStatus>> livePeers = new AtomicReference<>(List.of());

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param transport creates the transport from what takes its frames
	 * @param selfId this daemon's name
	 * @param self what this daemon says of itself
	 * @param seeds addresses of daemons to begin with
	 * @param heartbeatMillis the time between two beats
	 */
	public PeerDuty(ActorSystem<?> system, Function<Consumer<PeerFrame>, PeerTransport> transport, String selfId,
			Supplier<PeerStatus> self, Supplier<List<String>> seeds, long heartbeatMillis) {
		this.self = self;
		this.seeds = seeds;
		this.table = new PeerTable(selfId, Duration.ofMillis(LIVENESS_HEARTBEATS * heartbeatMillis).toNanos());
		this.duty = new Duty<>(system, "peers", RING_CAPACITY, Duration.ofMillis(heartbeatMillis), this);
		// A frame for which there is no room is dropped: the next beat brings newer word.
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
	 * Returns the live daemons, this one included.
	 * @return what each says of itself
	 */
	public List<PeerStatus> liveDaemons() {
		final List<PeerStatus> daemons = new ArrayList<>(this.livePeers.get());
		daemons.add(this.self.get());
		return daemons;
	}

	/**
	 * Returns the live daemons besides this one.
	 * @return what each says of itself
	 */
	public List<PeerStatus> livePeers() {
		return this.livePeers.get();
	}

	/**
	 * Returns the newest configuration that is in force on a live daemon besides this
	 * one.
	 * @return its version; 0 where none is
	 */
	public long newestConfigVersion() {
		return this.newestConfigVersion;
	}

	/**
	 * Returns the names of the live daemons that are not leaving, this one included.
	 * @return the names
	 */
	public Set<String> activeDaemonIds() {
		return liveDaemons().stream()
			.filter((daemon) -> !daemon.leaving())
			.map(PeerStatus::daemonId)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	/**
	 * Returns where this daemon listens for peers.
	 * @return the address
	 */
	public String localAddress() {
		return this.transport.localAddress();
	}

	/**
	 * Sets what takes frames with checkpoints.
	 * @param receiver takes them; it must not block
	 */
	public void setCheckpointReceiver(Consumer<PeerFrame> receiver) {
		this.checkpointReceiver = receiver;
	}

	/**
	 * Sets what takes frames about claims.
	 * @param receiver takes them; it must not block
	 */
	public void setClaimReceiver(Consumer<PeerFrame> receiver) {
		this.claimReceiver = receiver;
	}

	/**
	 * Returns the transport, for its counts.
	 * @return the transport
	 */
	public PeerTransport transport() {
		return this.transport;
	}

	/**
	 * Sets what takes frames about presence.
	 * @param receiver takes them; it must not block
	 */
	public void setPresenceReceiver(Consumer<PeerFrame> receiver) {
		this.presenceReceiver = receiver;
	}

	/**
	 * Sets what takes frames about the list of instances.
	 * @param receiver takes them; it must not block
	 */
	public void setListingReceiver(Consumer<PeerFrame> receiver) {
		this.listingReceiver = receiver;
	}

	/**
	 * Sets what is told of targets at which other daemons' requests stand still.
	 * @param receiver takes a target's id; it must not block
	 */
	public void setStallListener(Consumer<String> receiver) {
		this.stallListener = receiver;
	}

	/**
	 * Tells the other daemons that requests stand still at a target. Only the one that
	 * plans acts on it, and it may not have a request there itself.
	 * @param targetId the target
	 */
	public void broadcastStall(String targetId) {
		final PeerFrame frame = PeerFrame.newBuilder()
			.setStallNotice(StallNotice.newBuilder().addTargetIds(targetId))
			.build();
		this.livePeers.get().forEach((peer) -> this.transport.send(peer.peerAddress(), frame));
	}

	/**
	 * Sends a frame to a live daemon; it is dropped where the daemon is not live or its
	 * link cannot take it.
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
	 * Sets what tells and takes the demand of workspaces.
	 * @param own this daemon's demand
	 * @param receiver takes a peer's; it must not block
	 */
	public void setDemandExchange(Supplier<Map<String, Double>> own,
			BiConsumer<PeerStatus, Map<String, Double>> receiver) {
		this.ownDemand = own;
		this.demandReceiver = receiver;
	}

	/**
	 * Sets what tells and takes the limits that targets name.
	 * @param own what this daemon knows
	 * @param receiver takes what a peer knows; it must not block
	 */
	public void setLimitExchange(Supplier<List<AdvertisedLimit>> own, Consumer<List<AdvertisedLimit>> receiver) {
		this.ownLimits = own;
		this.limitReceiver = receiver;
	}

	/**
	 * Returns what is told of requests under which targets died.
	 * @return what daemons tell each other
	 */
	public SuspectExchange suspectExchange() {
		return this.suspectExchange;
	}

	/**
	 * Tells all other daemons of requests under which targets died, so that the next copy
	 * finds them warned. Heartbeats make up for frames that are lost.
	 * @param requests the requests
	 */
	public void broadcastSuspects(List<SuspectedRequest> requests) {
		final PeerFrame frame = SuspectExchange.toNotice(requests, System.nanoTime());
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
		if (frame.hasCrashNotice()) {
			this.suspectExchange.onPeerSuspects(frame.getCrashNotice().getSuspectsList(), System.nanoTime());
			return;
		}
		if (!frame.hasHeartbeat()) {
			return;
		}
		final long nowNanos = System.nanoTime();
		final PeerStatus sender = PeerCodec.decode(frame.getHeartbeat().getSender());
		if (!this.table.isLive(sender, nowNanos)) {
			this.suspectExchange.sendToNewcomer(nowNanos,
					(greeting) -> this.transport.send(sender.peerAddress(), greeting));
		}
		merge(sender, nowNanos);
		frame.getHeartbeat().getKnownList().forEach((status) -> merge(PeerCodec.decode(status), nowNanos));
		frame.getHeartbeat().getNewsList().forEach((news) -> {
			if (this.table.merge(PeerCodec.decode(news), nowNanos)) {
				Events.log(EventId.PEER_DISCOVERED, "daemon", news.getDaemonId());
			}
		});
		if (frame.getHeartbeat().getTargetLimitsCount() > 0) {
			this.limitReceiver.accept(LimitCodec.decode(frame.getHeartbeat(), nowNanos));
		}
		this.suspectExchange.onPeerSuspects(frame.getHeartbeat().getCrashSuspectsList(), nowNanos);
		// The next tick shows the rest.
		if (this.table.takeChanged()) {
			updateLivePeers(this.table.live(nowNanos));
		}
		this.demandReceiver.accept(sender, frame.getHeartbeat()
			.getWorkspaceUseList()
			.stream()
			.limit(PeerCodec.MAX_WORKSPACES)
			.collect(Collectors.toMap(WorkspaceUse::getWorkspace, WorkspaceUse::getRequestsPerSecond, Math::max)));
	}

	private void merge(PeerStatus status, long nowNanos) {
		if (this.table.merge(status, nowNanos)) {
			Events.log(EventId.PEER_DISCOVERED, "daemon", status.daemonId(), "address", status.peerAddress());
		}
	}

	@Override
	public void onTick() {
		final List<PeerStatus> known = this.table.live(System.nanoTime());
		logLostPeers(known);
		updateLivePeers(known);
		sendHeartbeat(HEARTBEAT_FAN_OUT);
	}

	private void updateLivePeers(List<PeerStatus> known) {
		this.livePeers.set(known);
		this.newestConfigVersion = known.stream().mapToLong(PeerStatus::configVersion).max().orElse(0);
	}

	private void logLostPeers(List<PeerStatus> known) {
		final Set<String> now = known.stream().map(PeerStatus::daemonId).collect(Collectors.toSet());
		for (final PeerStatus before : this.livePeers.get()) {
			if (!now.contains(before.daemonId())) {
				Events.log(EventId.PEER_LOST, "daemon", before.daemonId(), "address", before.peerAddress());
			}
		}
	}

	/**
	 * Sends one heartbeat to many peers soon, so that they learn of a change at once.
	 */
	public void sendHeartbeat() {
		this.duty.offer(HEARTBEAT_NOW);
	}

	private void sendHeartbeat(int fanOut) {
		final PeerStatus status = this.self.get();
		final long nowNanos = System.nanoTime();
		final PeerFrame frame = PeerCodec.heartbeat(status, this.table.sample(nowNanos), this.ownDemand.get(),
				LimitCodec.encode(this.ownLimits.get(), nowNanos),
				this.suspectExchange.encodeHeartbeatSample(nowNanos));
		final Set<String> addresses = new TreeSet<>(this.seeds.get());
		this.livePeers.get().forEach((peer) -> addresses.add(peer.peerAddress()));
		addresses.remove(status.peerAddress());
		final List<String> chosen = new ArrayList<>(addresses);
		Collections.shuffle(chosen, ThreadLocalRandom.current());
		chosen.stream().limit(fanOut).forEach((address) -> this.transport.send(address, frame));
	}

}
