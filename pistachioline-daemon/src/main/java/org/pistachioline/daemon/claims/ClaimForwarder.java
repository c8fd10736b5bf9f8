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
 * Makes claims here where this daemon follows the key's partition, and by way of one that
 * does where it does not.
 * <p>
 * The order of the log decides all the same, so two daemons that both believe to follow a
 * partition do no harm. A question is sent again until it is answered, since links drop
 * frames; the follower knows a question that came before and gives the same answer, or
 * the asker would be told that its own claim stands in its way. A question that is not
 * answered in time ends as not run, and a grant that comes later is given back. Releases
 * and outcomes are sent until their receipt comes. An asker that dies leaves a claim
 * without an outcome, which reads as unknown and never runs again.
 */
public final class ClaimForwarder implements Claims, Lifecycle, DutyHandler<ClaimForwarder.Message> {

	private static final int RING_CAPACITY = 4096;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private static final long RESEND_NANOS = Duration.ofMillis(250).toNanos();

	private static final long TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

	/** How long a late grant is still given back. */
	private static final long LATE_GRANT_RETENTION_NANOS = Duration.ofMinutes(1).toNanos();

	/** Bounds what waits here while no follower can be reached. */
	private static final int MAX_PENDING = 4096;

	/** More questions than can come again within a minute at the letter's peak. */
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
	 * Creates a forwarder.
	 * @param system the process's actor system
	 * @param local makes claims on partitions that this daemon follows
	 * @param selfId this daemon's name
	 * @param writer this daemon's name as a writer, with its incarnation
	 * @param daemonIds the live daemons that are not leaving, this one included
	 * @param sender sends a frame to a daemon, or drops it
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
		// Before the first message, or a claim at the start would not know whom to ask.
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
	 * Takes a frame about claims; where the ring is full it is dropped and comes again.
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
		if (message instanceof Message.ClaimRequested ask) {
			requestClaim(ask);
		}
		else if (message instanceof Message.Update note) {
			submitUpdate(note);
		}
		else if (message instanceof Message.FrameReceived received) {
			handleFrame(received.frame());
		}
		else if (message instanceof Message.UpdateWritten written) {
			this.updatesInProgress.remove(written.updateKey());
			this.sender.accept(written.senderId(), ClaimFrames.acknowledgement(written.noteId()));
		}
	}

	private void requestClaim(Message.ClaimRequested ask) {
		if (isFollowedHere(ask.info())) {
			this.local.claim(ask.info()).thenAccept(ask.result()::complete);
			return;
		}
		if (this.pendingClaims.size() >= MAX_PENDING) {
			ask.result().complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
			return;
		}
		final PendingClaim waiting = new PendingClaim(this.nextId, ask, System.nanoTime());
		this.nextId++;
		this.pendingClaims.put(waiting.id, waiting);
		send(waiting);
	}

	private void send(PendingClaim waiting) {
		waiting.sentAtNanos = System.nanoTime();
		follower(waiting.request.info()).ifPresent((daemonId) -> this.sender.accept(daemonId,
				ClaimFrames.claimRequest(waiting.id, this.selfId, this.writer, waiting.request.info())));
	}

	private void submitUpdate(Message.Update note) {
		if (isFollowedHere(note.info())) {
			writeLocally(note).thenAccept(note.done()::complete);
			return;
		}
		if (this.pendingUpdates.size() >= MAX_PENDING) {
			// The oldest is given up: its key reads as unknown, and nothing runs again.
			this.pendingUpdates.remove(this.pendingUpdates.keySet().iterator().next());
		}
		final PendingUpdate waiting = new PendingUpdate(this.nextId, note);
		this.nextId++;
		this.pendingUpdates.put(waiting.id, waiting);
		send(waiting);
	}

	private CompletableFuture<Void> writeLocally(Message.Update note) {
		if (note.release() != null) {
			return this.local.release(note.info(), note.release().claimOffset());
		}
		final KeyOutcome outcome = note.outcome();
		return this.local.settle(note.info(), outcome.claimOffset(), outcome.status(), outcome.contentType(),
				outcome.body(), outcome.unknown());
	}

	private void send(PendingUpdate waiting) {
		waiting.sentAtNanos = System.nanoTime();
		follower(waiting.update.info()).ifPresent((daemonId) -> this.sender.accept(daemonId,
				ClaimFrames.update(waiting.id, this.selfId, waiting.update)));
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
			final PendingUpdate done = this.pendingUpdates.remove(frame.getClaimReceipt().getNoteId());
			if (done != null) {
				done.update.done().complete(null);
			}
		}
	}

	private void onClaimRequest(ClaimQuestion question) {
		final RequestInfo info = ClaimFrames.infoOf(question);
		final String asker = question.getAskerWriter() + '/' + question.getAskId();
		final CompletableFuture<ClaimResult> known = this.resultsByRequest.get(asker);
		if (known != null) {
			if (known.isDone()) {
				this.sender.accept(question.getAskerId(), ClaimFrames.claimResponse(question.getAskId(), known.join()));
			}
			return;
		}
		// The asker may know more daemons than this one, or fewer. What is not followed
		// is
		// not answered; the asker asks again, and its view or ours will have changed.
		if (!isFollowedHere(info) || !this.local.partitionOf(info).view().caughtUp()) {
			return;
		}
		final CompletableFuture<ClaimResult> result = this.local.claim(info);
		this.resultsByRequest.put(asker, result);
		if (this.resultsByRequest.size() > MAX_CACHED_RESULTS) {
			this.resultsByRequest.remove(this.resultsByRequest.keySet().iterator().next());
		}
		result.thenAccept((answer) -> this.sender.accept(question.getAskerId(),
				ClaimFrames.claimResponse(question.getAskId(), answer)));
	}

	private void onClaimResponse(ClaimAnswer answer) {
		final PendingClaim waiting = this.pendingClaims.remove(answer.getAskId());
		if (waiting == null) {
			return;
		}
		final ClaimResult result = ClaimFrames.resultOf(answer);
		final boolean inTime = waiting.request.result().complete(result);
		// The caller was told "not run" already, so the claim must never be used.
		if (!inTime && result.verdict() == ClaimVerdict.GRANTED) {
			submitUpdate(new Message.Update(waiting.request.info(),
					releaseOf(waiting.request.info(), result.claimOffset()), null, new CompletableFuture<>()));
		}
	}

	private void onUpdate(ClaimNote frame) {
		final Message.Update note = ClaimFrames.updateOf(frame);
		final String sender = frame.getSenderId() + '/' + frame.getNoteId();
		if (isFollowedHere(note.info()) && this.updatesInProgress.add(sender)) {
			writeLocally(note).thenRun(
					() -> this.duty.put(new Message.UpdateWritten(frame.getSenderId(), frame.getNoteId(), sender)));
		}
	}

	@Override
	public void onTick() {
		refreshFollowers();
		final long nowNanos = System.nanoTime();
		final Iterator<PendingClaim> asks = this.pendingClaims.values().iterator();
		while (asks.hasNext()) {
			final PendingClaim waiting = asks.next();
			if (nowNanos - waiting.receivedAtNanos > LATE_GRANT_RETENTION_NANOS) {
				asks.remove();
			}
			else if (nowNanos - waiting.receivedAtNanos > TIMEOUT_NANOS) {
				waiting.request.result().complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
			}
			else if (nowNanos - waiting.sentAtNanos > RESEND_NANOS) {
				send(waiting);
			}
		}
		this.pendingUpdates.values()
			.stream()
			.filter((waiting) -> nowNanos - waiting.sentAtNanos > RESEND_NANOS)
			.toList()
			.forEach(this::send);
	}

	private void refreshFollowers() {
		final Set<String> ids = this.daemonIds.get();
		for (final StreamDuty<ClaimsState> partition : this.local.partitions()) {
			final List<String> now = StreamAssignment.followers(partition.stream(), ids);
			this.followersByStream.put(partition.stream(), now);
			partition.setFollowing(now.contains(this.selfId));
		}
	}

	private boolean isFollowedHere(RequestInfo info) {
		final List<String> now = this.followersByStream.get(this.local.partitionOf(info).stream());
		return now.contains(this.selfId);
	}

	private Optional<String> follower(RequestInfo info) {
		return this.followersByStream.get(this.local.partitionOf(info).stream()).stream().findFirst();
	}

	private static KeyRelease releaseOf(RequestInfo info, long claimOffset) {
		return new KeyRelease(info.workspace(), info.claim().keyHash(), claimOffset);
	}

	/**
	 * A message to the forwarder.
	 */
	sealed interface Message {

		/**
		 * A request asks for a claim.
		 *
		 * @param info the request
		 * @param result to be completed
		 */
		record ClaimRequested(RequestInfo info, CompletableFuture<ClaimResult> result) implements Message {
		}

		/**
		 * A release or an outcome is to be written.
		 *
		 * @param info the request
		 * @param release the release; null for an outcome
		 * @param outcome the outcome; null for a release
		 * @param done to be completed
		 */
		record Update(RequestInfo info, KeyRelease release, KeyOutcome outcome,
				CompletableFuture<Void> done) implements Message {
		}

		/**
		 * Another daemon's note stands on the log.
		 *
		 * @param senderId the daemon
		 * @param noteId its number there
		 * @param updateKey both together
		 */
		record UpdateWritten(String senderId, long noteId, String updateKey) implements Message {
		}

		/**
		 * A frame came from a daemon.
		 *
		 * @param frame the frame
		 */
		record FrameReceived(PeerFrame frame) implements Message {
		}

	}

}
