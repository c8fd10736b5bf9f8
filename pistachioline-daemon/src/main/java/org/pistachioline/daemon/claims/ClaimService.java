package org.pistachioline.daemon.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.codec.ClaimsSnapshotCodec;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.claims.ClaimEntry;
import org.pistachioline.core.claims.ClaimsReducer;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.RecordVerdict;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.agreed.StreamView;
import org.pistachioline.daemon.duty.Ring;

/**
 * Makes, releases and settles claims on the partitions that this daemon follows, and
 * finds stored outcomes.
 * <p>
 * A claim is granted only when its own record is folded, never by the response to an
 * append. A claim that is not folded in time is answered as unavailable and released if
 * it is folded later. Releases and outcomes are appended again until they are folded: a
 * lost release would block a key that never ran, and a lost outcome would hide a stored
 * response. A daemon that dies before it writes an outcome leaves a claim that reads as
 * unknown and never runs again.
 */
public final class ClaimService implements Claims, Lifecycle {

	private static final long CLAIM_TIMEOUT_MILLIS = 3_000;

	private static final long APPEND_RETRY_MILLIS = 500;

	private static final int MAX_STORED_BODY_CHARS = 4 * 1024;

	private final AppendDuty appender;

	private final long claimTimeoutMillis;

	private final List<StreamDuty<ClaimsState>> partitions = new ArrayList<>();

	private volatile boolean stopped;

	/**
	 * Creates a service that follows no partition until it is started.
	 * @param system the process's actor system
	 * @param log the platform's log
	 * @param appender appends records
	 * @param streamPrefix the common prefix of the names of the partitions' streams
	 * @param partitionCount the number of partitions, each with a stream of its own
	 */
	public ClaimService(ActorSystem<?> system, LogService log, AppendDuty appender, String streamPrefix,
			int partitionCount) {
		this(system, log, appender, streamPrefix, partitionCount, CLAIM_TIMEOUT_MILLIS);
	}

	ClaimService(ActorSystem<?> system, LogService log, AppendDuty appender, String streamPrefix, int partitionCount,
			long claimTimeoutMillis) {
		this.appender = appender;
		this.claimTimeoutMillis = claimTimeoutMillis;
		for (int i = 0; i < partitionCount; i++) {
			final StreamDuty<ClaimsState> partition = new StreamDuty<>(system, streamPrefix + "-" + i, log,
					new ClaimsReducer(), new ClaimsSnapshotCodec());
			partition.onFold(appender);
			partition.onRestore((state) -> appender.onRestored(partition.stream(), state.writers()));
			this.partitions.add(partition);
		}
	}

	@Override
	public void start() {
		this.partitions.forEach(StreamDuty::start);
	}

	@Override
	public List<Ring<?>> rings() {
		return this.partitions.stream().<Ring<?>>flatMap((partition) -> partition.rings().stream()).toList();
	}

	@Override
	public void stop() {
		this.stopped = true;
		this.partitions.forEach(StreamDuty::stop);
	}

	/**
	 * Returns a future that completes once all partitions have been read to their end for
	 * the first time.
	 * @return the future
	 */
	public CompletableFuture<Void> whenCaughtUp() {
		return CompletableFuture
			.allOf(this.partitions.stream().map(ClaimService::whenPartitionCaughtUp).toArray(CompletableFuture[]::new));
	}

	private static CompletableFuture<Void> whenPartitionCaughtUp(StreamDuty<ClaimsState> partition) {
		final CompletableFuture<Void> caughtUp = new CompletableFuture<>();
		final Runnable check = () -> {
			if (partition.view().caughtUp()) {
				caughtUp.complete(null);
			}
		};
		partition.onChange(check);
		check.run();
		return caughtUp;
	}

	@Override
	public CompletableFuture<ClaimResult> claim(RequestInfo info) {
		final StreamDuty<ClaimsState> partition = partitionOf(info);
		final StreamView<ClaimsState> view = partition.view();
		final Optional<ClaimEntry> existing = find(info);
		if (existing.isPresent()) {
			return CompletableFuture.completedFuture(resultForEntry(existing.get(), info));
		}
		if (!view.complete() || !view.caughtUp()) {
			// While records are missing, an unknown key may have run.
			return CompletableFuture.completedFuture(ClaimResult.of(ClaimVerdict.LIMBO));
		}
		if (!view.logReachable()) {
			return CompletableFuture.completedFuture(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
		}
		final ClaimRequirement requirement = info.claim();
		final long nowMillis = System.currentTimeMillis();
		final CompletableFuture<RecordVerdict> verdict = this.appender.append(partition.stream(),
				new KeyClaim(info.workspace(), requirement.keyHash(), requirement.requestDigest(), nowMillis,
						nowMillis + requirement.lifetimeMillis()));
		final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
		verdict.whenComplete((folded, failure) -> {
			final ClaimResult claimResult = (failure != null) ? ClaimResult.of(ClaimVerdict.UNAVAILABLE)
					: resultOf(folded, info);
			final boolean inTime = result.complete(claimResult);
			// The caller was already told "not run", so the claim must never be used.
			if (!inTime && claimResult.verdict() == ClaimVerdict.GRANTED) {
				release(info, claimResult.claimOffset());
			}
		});
		CompletableFuture.delayedExecutor(this.claimTimeoutMillis, TimeUnit.MILLISECONDS)
			.execute(() -> result.complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE)));
		return result;
	}

	private ClaimResult resultOf(RecordVerdict folded, RequestInfo info) {
		if (folded.isAccepted()) {
			return ClaimResult.granted(folded.offset());
		}
		return find(info).map((entry) -> resultForEntry(entry, info))
			.orElseGet(() -> ClaimResult.of(verdictWithoutEntry(folded.rejection().orElseThrow())));
	}

	private static ClaimResult resultForEntry(ClaimEntry entry, RequestInfo info) {
		final ClaimVerdict verdict = verdictForEntry(entry, info);
		return (verdict == ClaimVerdict.SETTLED) ? ClaimResult.settled(entry.outcome().orElseThrow())
				: ClaimResult.of(verdict);
	}

	private static ClaimVerdict verdictWithoutEntry(RejectReason reason) {
		// The verdict on a record arrives before the view that shows the entry. A
		// rejected key has a holder even if the view does not show it yet, so "not run"
		// would be wrong.
		return switch (reason) {
			case KEY_TAKEN -> ClaimVerdict.IN_PROGRESS;
			case CLAIMS_FULL -> ClaimVerdict.UNAVAILABLE;
			default -> ClaimVerdict.LIMBO;
		};
	}

	private static ClaimVerdict verdictForEntry(ClaimEntry entry, RequestInfo info) {
		if (!entry.claim().requestDigest().equals(info.claim().requestDigest())) {
			return ClaimVerdict.REUSED;
		}
		final long nowMillis = System.currentTimeMillis();
		if (nowMillis >= entry.claim().expiresAtMillis()) {
			return ClaimVerdict.EXPIRED;
		}
		if (entry.outcome().isEmpty()) {
			final boolean overdue = nowMillis - entry.claim().claimedAtMillis() > info.claim().runBoundMillis();
			return overdue ? ClaimVerdict.UNKNOWN : ClaimVerdict.IN_PROGRESS;
		}
		return entry.outcome().get().unknown() ? ClaimVerdict.UNKNOWN : ClaimVerdict.SETTLED;
	}

	/**
	 * Finds the claim of a request's key in the folded state.
	 * @param info the request
	 * @return the claim, if one has been folded here
	 */
	public Optional<ClaimEntry> find(RequestInfo info) {
		return partitionOf(info).view().state().find(info.workspace(), info.claim().keyHash());
	}

	@Override
	public CompletableFuture<Void> release(RequestInfo info, long claimOffset) {
		return appendUntilFolded(partitionOf(info).stream(),
				new KeyRelease(info.workspace(), info.claim().keyHash(), claimOffset));
	}

	/**
	 * Replaces a response body that is too large to be stored, so that its key reads as
	 * unexisting.
	 * @param outcome the outcome
	 * @return the outcome to store
	 */
	static KeyOutcome storable(KeyOutcome outcome) {
		return (outcome.body().length() <= MAX_STORED_BODY_CHARS) ? outcome : new KeyOutcome(outcome.workspace(),
				outcome.key(), outcome.claimOffset(), outcome.status(), outcome.contentType(), "", true);
	}

	private CompletableFuture<Void> appendUntilFolded(String stream, RecordBody body) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		appendUntilFolded(stream, body, done);
		return done;
	}

	private void appendUntilFolded(String stream, RecordBody body, CompletableFuture<Void> done) {
		this.appender.append(stream, body).whenComplete((folded, failure) -> {
			if (failure == null) {
				done.complete(null);
			}
			else if (!this.stopped) {
				CompletableFuture.delayedExecutor(APPEND_RETRY_MILLIS, TimeUnit.MILLISECONDS)
					.execute(() -> appendUntilFolded(stream, body, done));
			}
		});
	}

	@Override
	public CompletableFuture<Void> settle(RequestInfo info, long claimOffset, int status, String contentType,
			String body, boolean unknown) {
		return appendUntilFolded(partitionOf(info).stream(), storable(new KeyOutcome(info.workspace(),
				info.claim().keyHash(), claimOffset, status, contentType, body, unknown)));
	}

	/**
	 * Returns the streams of all partitions.
	 * @return the streams in the order of their partition numbers
	 */
	public List<StreamDuty<ClaimsState>> partitions() {
		return List.copyOf(this.partitions);
	}

	/**
	 * Returns the partition that a request's workspace and key hash to.
	 * @param info the request
	 * @return the stream of the partition
	 */
	StreamDuty<ClaimsState> partitionOf(RequestInfo info) {
		final int hash = (info.workspace() + '/' + info.claim().keyHash()).hashCode();
		return this.partitions.get(Math.floorMod(hash, this.partitions.size()));
	}

}
