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
import org.pistachioline.core.traffic.ClaimNeed;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.RecordVerdict;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.agreed.StreamView;

/**
 * Makes, releases and settles claims, and finds stored outcomes.
 * <p>
 * A claim is granted only by the fold of its own record, never by an append's answer. One
 * that is not folded in time is answered as unavailable, and given back when it lands
 * after all. Releases and outcomes are offered again until they are folded: a lost
 * release would bar a key that never ran, a lost outcome would hide an answer. A daemon
 * that dies in between leaves a claim without an outcome, which reads as unknown and
 * never runs again.
 */
public final class ClaimService implements Lifecycle {

	private static final long CLAIM_TIMEOUT_MILLIS = 3_000;

	private static final long APPEND_AGAIN_MILLIS = 500;

	private static final int LARGEST_STORED_BODY = 4 * 1024;

	private final AppendDuty appender;

	private final long claimTimeoutMillis;

	private final List<StreamDuty<ClaimsState>> partitions = new ArrayList<>();

	private volatile boolean stopped;

	/**
	 * Creates the service.
	 * @param system the process's actor system
	 * @param log the platform's log
	 * @param appender appends records
	 * @param streamPrefix the start of the streams' names
	 * @param partitionCount how many streams there are
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
	public void stop() {
		this.stopped = true;
		this.partitions.forEach(StreamDuty::stop);
	}

	/**
	 * Returns when all partitions have been read to their end for the first time.
	 * @return completes then
	 */
	public CompletableFuture<Void> following() {
		return CompletableFuture
			.allOf(this.partitions.stream().map(ClaimService::followed).toArray(CompletableFuture[]::new));
	}

	private static CompletableFuture<Void> followed(StreamDuty<ClaimsState> partition) {
		final CompletableFuture<Void> followed = new CompletableFuture<>();
		final Runnable check = () -> {
			if (partition.view().caughtUp()) {
				followed.complete(null);
			}
		};
		partition.onChange(check);
		check.run();
		return followed;
	}

	/**
	 * Claims a request's key.
	 * @param info the request
	 * @return the claim's result; it never fails
	 */
	public CompletableFuture<ClaimResult> claim(RequestInfo info) {
		final StreamDuty<ClaimsState> partition = partitionOf(info);
		final StreamView<ClaimsState> view = partition.view();
		final Optional<ClaimEntry> known = find(info);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(ClaimResult.of(verdictOn(known.get(), info)));
		}
		if (!view.complete() || !view.caughtUp()) {
			// Not found is no answer while records are missing: the key may have run.
			return CompletableFuture.completedFuture(ClaimResult.of(ClaimVerdict.LIMBO));
		}
		if (!view.logReachable()) {
			return CompletableFuture.completedFuture(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
		}
		final ClaimNeed need = info.claim();
		final long nowMillis = System.currentTimeMillis();
		final CompletableFuture<RecordVerdict> verdict = this.appender.append(partition.stream(), new KeyClaim(
				info.workspace(), need.keyHash(), need.requestDigest(), nowMillis, nowMillis + need.lifetimeMillis()));
		final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
		verdict.whenComplete((folded, failure) -> {
			final ClaimResult answer = (failure != null) ? ClaimResult.of(ClaimVerdict.UNAVAILABLE)
					: resultOf(folded, info);
			final boolean inTime = result.complete(answer);
			// The caller was told "not run" already, so the claim must never be used.
			if (!inTime && answer.verdict() == ClaimVerdict.GRANTED) {
				release(info, answer.claimOffset());
			}
		});
		CompletableFuture.delayedExecutor(this.claimTimeoutMillis, TimeUnit.MILLISECONDS)
			.execute(() -> result.complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE)));
		return result;
	}

	private ClaimResult resultOf(RecordVerdict folded, RequestInfo info) {
		if (folded.isAccepted()) {
			return new ClaimResult(ClaimVerdict.GRANTED, folded.offset());
		}
		return ClaimResult.of(find(info).map((entry) -> verdictOn(entry, info))
			.orElseGet(() -> verdictWithoutEntry(folded.rejection().orElseThrow())));
	}

	private static ClaimVerdict verdictWithoutEntry(RejectReason reason) {
		// The verdict on a record comes before the view that shows it. A key that was
		// taken
		// has a holder, even where the view does not show it yet; "not run" would be
		// wrong.
		return switch (reason) {
			case KEY_TAKEN -> ClaimVerdict.IN_PROGRESS;
			case CLAIMS_FULL -> ClaimVerdict.UNAVAILABLE;
			default -> ClaimVerdict.LIMBO;
		};
	}

	private static ClaimVerdict verdictOn(ClaimEntry entry, RequestInfo info) {
		if (!entry.claim().requestDigest().equals(info.claim().requestDigest())) {
			return ClaimVerdict.REUSED;
		}
		final long nowMillis = System.currentTimeMillis();
		if (nowMillis >= entry.claim().expiresAtMillis()) {
			return ClaimVerdict.EXPIRED;
		}
		if (entry.outcome().isEmpty()) {
			final boolean silent = nowMillis - entry.claim().claimedAtMillis() > info.claim().runBoundMillis();
			return silent ? ClaimVerdict.UNKNOWN : ClaimVerdict.IN_PROGRESS;
		}
		return entry.outcome().get().unknown() ? ClaimVerdict.UNKNOWN : ClaimVerdict.SETTLED;
	}

	/**
	 * Finds the claim of a request's key.
	 * @param info the request
	 * @return the claim, if one is known here
	 */
	public Optional<ClaimEntry> find(RequestInfo info) {
		return partitionOf(info).view().state().find(info.workspace(), info.claim().keyHash());
	}

	/**
	 * Gives back a claim under which nothing was sent.
	 * @param info the request
	 * @param claimOffset the claim's offset
	 */
	public void release(RequestInfo info, long claimOffset) {
		appendUntilFolded(partitionOf(info).stream(),
				new KeyRelease(info.workspace(), info.claim().keyHash(), claimOffset));
	}

	private void appendUntilFolded(String stream, RecordBody body) {
		this.appender.append(stream, body).whenComplete((folded, failure) -> {
			if (failure != null && !this.stopped) {
				CompletableFuture.delayedExecutor(APPEND_AGAIN_MILLIS, TimeUnit.MILLISECONDS)
					.execute(() -> appendUntilFolded(stream, body));
			}
		});
	}

	/**
	 * Stores what came of a claimed request.
	 * @param info the request
	 * @param claimOffset the claim's offset
	 * @param status the target's HTTP status
	 * @param contentType the answer's content type
	 * @param body the answer's body
	 * @param unknown whether it is not known if the target ran the request
	 */
	public void settle(RequestInfo info, long claimOffset, int status, String contentType, String body,
			boolean unknown) {
		final boolean storable = body.length() <= LARGEST_STORED_BODY;
		appendUntilFolded(partitionOf(info).stream(), new KeyOutcome(info.workspace(), info.claim().keyHash(),
				claimOffset, status, contentType, storable ? body : "", unknown || !storable));
	}

	/**
	 * Returns the streams with claims.
	 * @return the streams in the order of their numbers
	 */
	public List<StreamDuty<ClaimsState>> partitions() {
		return List.copyOf(this.partitions);
	}

	private StreamDuty<ClaimsState> partitionOf(RequestInfo info) {
		final int hash = (info.workspace() + '/' + info.claim().keyHash()).hashCode();
		return this.partitions.get(Math.floorMod(hash, this.partitions.size()));
	}

}
