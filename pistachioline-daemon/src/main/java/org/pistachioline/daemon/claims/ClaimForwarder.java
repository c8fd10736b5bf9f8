package org.pistachioline.daemon.claims;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.stream.StreamAssignment;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.protocol.peer.ClaimAnswer;
import org.pistachioline.protocol.peer.ClaimNote;
import org.pistachioline.protocol.peer.ClaimQuestion;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Makes claims locally if this daemon follows the partition of the key, and through a
 * daemon that follows it otherwise.
 * <p>
 * The order of records on the log decides on every claim, so two daemons that both
 * consider themselves followers of a partition do no harm. Links may drop frames, so a
 * claim request is sent again until it is answered. The follower deduplicates requests
 * and repeats its first response; evaluated again, a request would find the key held by
 * its own claim. A request that is not answered in time ends as not run, and a grant that
 * arrives later is released. Releases and outcomes are sent until they are acknowledged.
 * If the requesting daemon dies, its claim stays without an outcome, which reads as
 * unknown and never runs again.
 */
public final class ClaimForwarder implements Claims, Lifecycle, DutyHandler<ClaimForwarder.Message> {

	private static final int RING_CAPACITY = 4096;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private static final long RESEND_NANOS = Duration.ofMillis(250).toNanos();

	private static final long TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

	/** How long after the request a late grant is still released. */
	private static final long LATE_GRANT_RETENTION_NANOS = Duration.ofMinutes(1).toNanos();

	/**
	 * Bounds the memory for pending claims, and for pending updates, while no follower
	 * can be reached.
	 */
	private static final int MAX_PENDING = 4096;

	/**
	 * More requests than can be sent again within a minute at the highest expected load.
	 */
	private static final int MAX_CACHED_RESULTS = 8192;

	private final ClaimService local;

	private final String selfId;

	private final String writer;

	private final Supplier<Set<String>> daemonIds;

	private final BiConsumer<String, PeerFrame> sender;

	private final Duty<Message> duty;

	private final Map<Long, PendingClaim> pendingClaims = new LinkedHashMap<>();

	private final Map<Long, PendingUpdate> pendingUpdates = new LinkedHashMap<>();

	private final Map<String, CompletableFuture<ClaimResult>> resultsByRequest = new LinkedHashMap<>();

	private final Set<String> updatesInProgress = new HashSet<>();

	private final Map<String, List<String>> followersByStream = new HashMap<>();

	private long nextId = 1;

	/**
	 * Creates a forwarder with no pending claims.
	 * @param system the process's actor system
	 * @param local makes claims on the partitions that this daemon follows
	 * @param selfId the id of this daemon
	 * @param writer the writer id of this process, including its incarnation
	 * @param daemonIds supplies the live daemons that are not leaving, including this one
	 * @param sender sends a frame to a daemon; it may drop the frame
	 */
	public ClaimForwarder(ActorSystem<?> system, ClaimService local, String selfId, String writer,
			Supplier<Set<String>> daemonIds, BiConsumer<String, PeerFrame> sender) {
		this.local = local;
		this.selfId = selfId;
		this.writer = writer;
		this.daemonIds = daemonIds;
		this.sender = sender;
		this.duty = new Duty<>(system, "claims", RING_CAPACITY, TICK_INTERVAL, this);
	}

	@Override
	public void start() {
		// Needed before the first message: an early claim could not be forwarded
		// otherwise.
		refreshFollowers();
		this.duty.start();
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	/**
	 * Handles a claim frame from another daemon. It is dropped if the ring is full, as
	 * the sender repeats it.
	 * @param frame the frame
	 */
	public void onFrame(PeerFrame frame) {
		this.duty.offer(new Message.FrameReceived(frame));
	}

	@Override
	public CompletableFuture<ClaimResult> claim(RequestInfo info) {
		final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
		if (!this.duty.offer(new Message.ClaimRequested(info, result))) {
			result.complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
		}
		return result;
	}

	@Override
	public CompletableFuture<Void> release(RequestInfo info, long claimOffset) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		this.duty.put(new Message.Update(info, releaseOf(info, claimOffset), null, done));
		return done;
	}

	@Override
	public CompletableFuture<Void> settle(RequestInfo info, long claimOffset, int status, String contentType,
			String body, boolean unknown) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		final KeyOutcome outcome = ClaimService.storable(new KeyOutcome(info.workspace(), info.claim().keyHash(),
				claimOffset, status, contentType, body, unknown));
		this.duty.put(new Message.Update(info, null, outcome, done));
		return done;
	}

	@Override
	public void onMessage(Message message) {
		if (message instanceof Message.ClaimRequested request) {
			requestClaim(request);
		}
		else if (message instanceof Message.Update update) {
			submitUpdate(update);
		}
		else if (message instanceof Message.FrameReceived frameReceived) {
			handleFrame(frameReceived.frame());
		}
		else if (message instanceof Message.UpdateWritten written) {
			this.updatesInProgress.remove(written.updateKey());
			this.sender.accept(written.senderId(), ClaimFrames.acknowledgement(written.updateId()));
		}
	}

	private void requestClaim(Message.ClaimRequested request) {
		if (isFollowedHere(request.info())) {
			this.local.claim(request.info()).thenAccept(request.result()::complete);
			return;
		}
		if (this.pendingClaims.size() >= MAX_PENDING) {
			request.result().complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
			return;
		}
		final PendingClaim pending = new PendingClaim(this.nextId, request, System.nanoTime());
		this.nextId++;
		this.pendingClaims.put(pending.id, pending);
		send(pending);
	}

	private void send(PendingClaim pending) {
		pending.sentAtNanos = System.nanoTime();
		follower(pending.request.info()).ifPresent((daemonId) -> this.sender.accept(daemonId,
				ClaimFrames.claimRequest(pending.id, this.selfId, this.writer, pending.request.info())));
	}

	private void submitUpdate(Message.Update update) {
		if (isFollowedHere(update.info())) {
			writeLocally(update).thenAccept(update.done()::complete);
			return;
		}
		if (this.pendingUpdates.size() >= MAX_PENDING) {
			// The oldest update is dropped: its key then reads as unknown and never runs
			// again.
			this.pendingUpdates.remove(this.pendingUpdates.keySet().iterator().next());
		}
		final PendingUpdate pending = new PendingUpdate(this.nextId, update);
		this.nextId++;
		this.pendingUpdates.put(pending.id, pending);
		send(pending);
	}

	private CompletableFuture<Void> writeLocally(Message.Update update) {
		if (update.release() != null) {
			return this.local.release(update.info(), update.release().claimOffset());
		}
		final KeyOutcome outcome = update.outcome();
		return this.local.settle(update.info(), outcome.claimOffset(), outcome.status(), outcome.contentType(),
				outcome.body(), outcome.unknown());
	}

	private void send(PendingUpdate pending) {
		pending.sentAtNanos = System.nanoTime();
		follower(pending.update.info()).ifPresent((daemonId) -> this.sender.accept(daemonId,
				ClaimFrames.update(pending.id, this.selfId, pending.update)));
	}

	private void handleFrame(PeerFrame frame) {
		if (frame.hasClaimQuestion()) {
			onClaimRequest(frame.getClaimQuestion());
		}
		else if (frame.hasClaimAnswer()) {
			onClaimResponse(frame.getClaimAnswer());
		}
		else if (frame.hasClaimNote()) {
			onUpdate(frame.getClaimNote());
		}
		else if (frame.hasClaimReceipt()) {
			final PendingUpdate acknowledged = this.pendingUpdates.remove(frame.getClaimReceipt().getNoteId());
			if (acknowledged != null) {
				acknowledged.update.done().complete(null);
			}
		}
	}

	private void onClaimRequest(ClaimQuestion request) {
		final RequestInfo info = ClaimFrames.infoOf(request);
		final String requestKey = request.getAskerWriter() + '/' + request.getAskId();
		final CompletableFuture<ClaimResult> cached = this.resultsByRequest.get(requestKey);
		if (cached != null) {
			if (cached.isDone()) {
				this.sender.accept(request.getAskerId(), ClaimFrames.claimResponse(request.getAskId(), cached.join()));
			}
			return;
		}
		// The daemons' views of the live set may differ. A request for a partition that
		// is not followed here is not answered; it is sent again, and by then the views
		// will have converged.
		if (!isFollowedHere(info) || !this.local.partitionOf(info).view().caughtUp()) {
			return;
		}
		final CompletableFuture<ClaimResult> result = this.local.claim(info);
		this.resultsByRequest.put(requestKey, result);
		if (this.resultsByRequest.size() > MAX_CACHED_RESULTS) {
			this.resultsByRequest.remove(this.resultsByRequest.keySet().iterator().next());
		}
		result.thenAccept((answered) -> this.sender.accept(request.getAskerId(),
				ClaimFrames.claimResponse(request.getAskId(), answered)));
	}

	private void onClaimResponse(ClaimAnswer response) {
		final PendingClaim pending = this.pendingClaims.remove(response.getAskId());
		if (pending == null) {
			return;
		}
		final ClaimResult result = ClaimFrames.resultOf(response);
		final boolean inTime = pending.request.result().complete(result);
		// The caller was already told "not run", so the claim must never be used.
		if (!inTime && result.verdict() == ClaimVerdict.GRANTED) {
			submitUpdate(new Message.Update(pending.request.info(),
					releaseOf(pending.request.info(), result.claimOffset()), null, new CompletableFuture<>()));
		}
	}

	private void onUpdate(ClaimNote frame) {
		final Message.Update update = ClaimFrames.updateOf(frame);
		final String updateKey = frame.getSenderId() + '/' + frame.getNoteId();
		if (isFollowedHere(update.info()) && this.updatesInProgress.add(updateKey)) {
			writeLocally(update).thenRun(
					() -> this.duty.put(new Message.UpdateWritten(frame.getSenderId(), frame.getNoteId(), updateKey)));
		}
	}

	@Override
	public void onTick() {
		refreshFollowers();
		final long nowNanos = System.nanoTime();
		final Iterator<PendingClaim> claims = this.pendingClaims.values().iterator();
		while (claims.hasNext()) {
			final PendingClaim pending = claims.next();
			if (nowNanos - pending.receivedAtNanos > LATE_GRANT_RETENTION_NANOS) {
				claims.remove();
			}
			else if (nowNanos - pending.receivedAtNanos > TIMEOUT_NANOS) {
				pending.request.result().complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
			}
			else if (nowNanos - pending.sentAtNanos > RESEND_NANOS) {
				send(pending);
			}
		}
		this.pendingUpdates.values()
			.stream()
			.filter((pending) -> nowNanos - pending.sentAtNanos > RESEND_NANOS)
			.toList()
			.forEach(this::send);
	}

	private void refreshFollowers() {
		final Set<String> ids = this.daemonIds.get();
		for (final StreamDuty<ClaimsState> partition : this.local.partitions()) {
			final List<String> followers = StreamAssignment.followers(partition.stream(), ids);
			this.followersByStream.put(partition.stream(), followers);
			partition.setFollowing(followers.contains(this.selfId));
		}
	}

	private boolean isFollowedHere(RequestInfo info) {
		final List<String> followers = this.followersByStream.get(this.local.partitionOf(info).stream());
		return followers.contains(this.selfId);
	}

	private Optional<String> follower(RequestInfo info) {
		return this.followersByStream.get(this.local.partitionOf(info).stream()).stream().findFirst();
	}

	private static KeyRelease releaseOf(RequestInfo info, long claimOffset) {
		return new KeyRelease(info.workspace(), info.claim().keyHash(), claimOffset);
	}

	/**
	 * A message on the ring of the forwarder.
	 */
	sealed interface Message {

		/**
		 * A request needs a claim of its key.
		 *
		 * @param info the request
		 * @param result completed with the result of the claim
		 */
		record ClaimRequested(RequestInfo info, CompletableFuture<ClaimResult> result) implements Message {
		}

		/**
		 * A release or an outcome is to be written to the log.
		 *
		 * @param info the request
		 * @param release the release; null if this is an outcome
		 * @param outcome the outcome; null if this is a release
		 * @param done completed once the update is on the log
		 */
		record Update(RequestInfo info, KeyRelease release, KeyOutcome outcome,
				CompletableFuture<Void> done) implements Message {
		}

		/**
		 * An update that another daemon forwarded is on the log.
		 *
		 * @param senderId the daemon that forwarded it
		 * @param updateId the id of the update at that daemon
		 * @param updateKey both ids joined, under which the update is tracked until it is
		 * written
		 */
		record UpdateWritten(String senderId, long updateId, String updateKey) implements Message {
		}

		/**
		 * A frame arrived from another daemon.
		 *
		 * @param frame the frame
		 */
		record FrameReceived(PeerFrame frame) implements Message {
		}

	}

}
