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
import org.pistachioline.core.traffic.ClaimNeed;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.RecordVerdict;
import org.pistachioline.daemon.agreed.StreamDuty;

/**
 * Makes, releases and settles claims, and finds stored outcomes.
 */
public final class ClaimService implements Lifecycle {

	private static final long CLAIM_TIMEOUT_MILLIS = 3_000;

	private static final int LARGEST_STORED_BODY = 64 * 1024;

	private static final long SILENT_CLAIM_MILLIS = 60_000;

	private final AppendDuty appender;

	private final List<StreamDuty<ClaimsState>> partitions = new ArrayList<>();

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
		this.appender = appender;
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
		this.partitions.forEach(StreamDuty::stop);
	}

	/**
	 * Claims a request's key.
	 * @param info the request
	 * @return the claim's result; it never fails
	 */
	public CompletableFuture<ClaimResult> claim(RequestInfo info) {
		final StreamDuty<ClaimsState> partition = partitionOf(info);
		if (!partition.view().complete() || !partition.view().caughtUp() || !partition.view().logReachable()) {
			return CompletableFuture.completedFuture(ClaimResult.of(ClaimVerdict.UNAVAILABLE));
		}
		final Optional<ClaimEntry> known = find(info);
		if (known.isPresent()) {
			return CompletableFuture.completedFuture(ClaimResult.of(verdictOn(known.get(), info)));
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
		CompletableFuture.delayedExecutor(CLAIM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.execute(() -> result.complete(ClaimResult.of(ClaimVerdict.UNAVAILABLE)));
		return result;
	}

	private ClaimResult resultOf(RecordVerdict folded, RequestInfo info) {
		if (folded.isAccepted()) {
			return new ClaimResult(ClaimVerdict.GRANTED, folded.offset());
		}
		return ClaimResult.of(find(info).map((entry) -> verdictOn(entry, info)).orElse(ClaimVerdict.UNAVAILABLE));
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
			final boolean silent = nowMillis - entry.claim().claimedAtMillis() > SILENT_CLAIM_MILLIS;
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
		this.appender.append(partitionOf(info).stream(),
				new KeyRelease(info.workspace(), info.claim().keyHash(), claimOffset));
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
		this.appender.append(partitionOf(info).stream(), new KeyOutcome(info.workspace(), info.claim().keyHash(),
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
