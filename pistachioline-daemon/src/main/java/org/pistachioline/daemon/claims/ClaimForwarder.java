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

	private static final Duration TICK = Duration.ofMillis(100);

	private static final long AGAIN_NANOS = Duration.ofMillis(250).toNanos();

	private static final long TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

	/** How long a late grant is still given back. */
	private static final long FORGET_NANOS = Duration.ofMinutes(1).toNanos();

	/** Bounds what waits here while no follower can be reached. */
	private static final int MOST_WAITING = 4096;

	/** More questions than can come again within a minute at the letter's peak. */
	private static final int MOST_REMEMBERED = 8192;

	private final ClaimService local;

	private final String selfId;

	private final String writer;

	private final Supplier<Set<String>> daemonIds;

	private final BiConsumer<String, PeerFrame> sender;

	private final Duty<Message> duty;

	private final Map<Long, AskedClaim> asked = new LinkedHashMap<>();

	private final Map<Long, SentNote> noted = new LinkedHashMap<>();

	private final Map<String, CompletableFuture<ClaimResult>> remembered = new LinkedHashMap<>();

	private final Set<String> notesInProgress = new HashSet<>();

	private final Map<String, List<String>> followers = new HashMap<>();

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
		this.duty = new Duty<>(system, "claims", RING_CAPACITY, TICK, this);
	}

	@Override
	public void start() {
		// Before the first message, or a claim at the start would not know whom to ask.
		renewFollowers();
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
		this.duty.offer(new Message.Received(frame));
	}

	@Override
	public CompletableFuture<ClaimResult> claim(RequestInfo info) {
		final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
		if (!this.duty.offer(new Message.Ask(info, result))) {
			result.complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
		}
		return result;
	}

	@Override
	public CompletableFuture<Void> release(RequestInfo info, long claimOffset) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		this.duty.put(new Message.Note(info, releaseOf(info, claimOffset), null, done));
		return done;
	}

	@Override
	public CompletableFuture<Void> settle(RequestInfo info, long claimOffset, int status, String contentType,
			String body, boolean unknown) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		final KeyOutcome outcome = ClaimService.storable(new KeyOutcome(info.workspace(), info.claim().keyHash(),
				claimOffset, status, contentType, body, unknown));
		this.duty.put(new Message.Note(info, null, outcome, done));
		return done;
	}

	@Override
	public void onMessage(Message message) {
		if (message instanceof Message.Ask ask) {
			ask(ask);
		}
		else if (message instanceof Message.Note note) {
			note(note);
		}
		else if (message instanceof Message.Received received) {
			receive(received.frame());
		}
		else if (message instanceof Message.Written written) {
			this.notesInProgress.remove(written.note());
			this.sender.accept(written.senderId(), ClaimFrames.receipt(written.noteId()));
		}
	}

	private void ask(Message.Ask ask) {
		if (followsHere(ask.info())) {
			this.local.claim(ask.info()).thenAccept(ask.result()::complete);
			return;
		}
		if (this.asked.size() >= MOST_WAITING) {
			ask.result().complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
			return;
		}
		final AskedClaim waiting = new AskedClaim(this.nextId, ask, System.nanoTime());
		this.nextId++;
		this.asked.put(waiting.id, waiting);
		send(waiting);
	}

	private void send(AskedClaim waiting) {
		waiting.sentAtNanos = System.nanoTime();
		follower(waiting.ask.info()).ifPresent((daemonId) -> this.sender.accept(daemonId,
				ClaimFrames.question(waiting.id, this.selfId, this.writer, waiting.ask.info())));
	}

	private void note(Message.Note note) {
		if (followsHere(note.info())) {
			writeHere(note).thenAccept(note.done()::complete);
			return;
		}
		if (this.noted.size() >= MOST_WAITING) {
			// The oldest is given up: its key reads as unknown, and nothing runs again.
			this.noted.remove(this.noted.keySet().iterator().next());
		}
		final SentNote waiting = new SentNote(this.nextId, note);
		this.nextId++;
		this.noted.put(waiting.id, waiting);
		send(waiting);
	}

	private CompletableFuture<Void> writeHere(Message.Note note) {
		if (note.release() != null) {
			return this.local.release(note.info(), note.release().claimOffset());
		}
		final KeyOutcome outcome = note.outcome();
		return this.local.settle(note.info(), outcome.claimOffset(), outcome.status(), outcome.contentType(),
				outcome.body(), outcome.unknown());
	}

	private void send(SentNote waiting) {
		waiting.sentAtNanos = System.nanoTime();
		follower(waiting.note.info()).ifPresent(
				(daemonId) -> this.sender.accept(daemonId, ClaimFrames.note(waiting.id, this.selfId, waiting.note)));
	}

	private void receive(PeerFrame frame) {
		if (frame.hasClaimQuestion()) {
			onQuestion(frame.getClaimQuestion());
		}
		else if (frame.hasClaimAnswer()) {
			onAnswer(frame.getClaimAnswer());
		}
		else if (frame.hasClaimNote()) {
			onNote(frame.getClaimNote());
		}
		else if (frame.hasClaimReceipt()) {
			final SentNote done = this.noted.remove(frame.getClaimReceipt().getNoteId());
			if (done != null) {
				done.note.done().complete(null);
			}
		}
	}

	private void onQuestion(ClaimQuestion question) {
		final RequestInfo info = ClaimFrames.infoOf(question);
		final String asker = question.getAskerWriter() + '/' + question.getAskId();
		final CompletableFuture<ClaimResult> known = this.remembered.get(asker);
		if (known != null) {
			if (known.isDone()) {
				this.sender.accept(question.getAskerId(), ClaimFrames.answer(question.getAskId(), known.join()));
			}
			return;
		}
		// The asker may know more daemons than this one, or fewer. What is not followed
		// is
		// not answered; the asker asks again, and its view or ours will have changed.
		if (!followsHere(info) || !this.local.partitionOf(info).view().caughtUp()) {
			return;
		}
		final CompletableFuture<ClaimResult> result = this.local.claim(info);
		this.remembered.put(asker, result);
		if (this.remembered.size() > MOST_REMEMBERED) {
			this.remembered.remove(this.remembered.keySet().iterator().next());
		}
		result.thenAccept(
				(answer) -> this.sender.accept(question.getAskerId(), ClaimFrames.answer(question.getAskId(), answer)));
	}

	private void onAnswer(ClaimAnswer answer) {
		final AskedClaim waiting = this.asked.remove(answer.getAskId());
		if (waiting == null) {
			return;
		}
		final ClaimResult result = ClaimFrames.resultOf(answer);
		final boolean inTime = waiting.ask.result().complete(result);
		// The caller was told "not run" already, so the claim must never be used.
		if (!inTime && result.verdict() == ClaimVerdict.GRANTED) {
			note(new Message.Note(waiting.ask.info(), releaseOf(waiting.ask.info(), result.claimOffset()), null,
					new CompletableFuture<>()));
		}
	}

	private void onNote(ClaimNote frame) {
		final Message.Note note = ClaimFrames.noteOf(frame);
		final String sender = frame.getSenderId() + '/' + frame.getNoteId();
		if (followsHere(note.info()) && this.notesInProgress.add(sender)) {
			writeHere(note)
				.thenRun(() -> this.duty.put(new Message.Written(frame.getSenderId(), frame.getNoteId(), sender)));
		}
	}

	@Override
	public void onTick() {
		renewFollowers();
		final long nowNanos = System.nanoTime();
		final Iterator<AskedClaim> asks = this.asked.values().iterator();
		while (asks.hasNext()) {
			final AskedClaim waiting = asks.next();
			if (nowNanos - waiting.askedAtNanos > FORGET_NANOS) {
				asks.remove();
			}
			else if (nowNanos - waiting.askedAtNanos > TIMEOUT_NANOS) {
				waiting.ask.result().complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
			}
			else if (nowNanos - waiting.sentAtNanos > AGAIN_NANOS) {
				send(waiting);
			}
		}
		this.noted.values()
			.stream()
			.filter((waiting) -> nowNanos - waiting.sentAtNanos > AGAIN_NANOS)
			.toList()
			.forEach(this::send);
	}

	private void renewFollowers() {
		final Set<String> ids = this.daemonIds.get();
		for (final StreamDuty<ClaimsState> partition : this.local.partitions()) {
			final List<String> now = StreamAssignment.followers(partition.stream(), ids);
			this.followers.put(partition.stream(), now);
			partition.follow(now.contains(this.selfId));
		}
	}

	private boolean followsHere(RequestInfo info) {
		final List<String> now = this.followers.get(this.local.partitionOf(info).stream());
		return now.contains(this.selfId);
	}

	private Optional<String> follower(RequestInfo info) {
		return this.followers.get(this.local.partitionOf(info).stream()).stream().findFirst();
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
		record Ask(RequestInfo info, CompletableFuture<ClaimResult> result) implements Message {
		}

		/**
		 * A release or an outcome is to be written.
		 *
		 * @param info the request
		 * @param release the release; null for an outcome
		 * @param outcome the outcome; null for a release
		 * @param done to be completed
		 */
		record Note(RequestInfo info, KeyRelease release, KeyOutcome outcome,
				CompletableFuture<Void> done) implements Message {
		}

		/**
		 * Another daemon's note stands on the log.
		 *
		 * @param senderId the daemon
		 * @param noteId its number there
		 * @param note both together
		 */
		record Written(String senderId, long noteId, String note) implements Message {
		}

		/**
		 * A frame came from a daemon.
		 *
		 * @param frame the frame
		 */
		record Received(PeerFrame frame) implements Message {
		}

	}

}
