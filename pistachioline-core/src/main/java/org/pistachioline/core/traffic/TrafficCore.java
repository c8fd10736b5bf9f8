package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.placement.DaemonRank;
import org.pistachioline.core.placement.TargetLoad;
import org.pistachioline.core.quarantine.DeathVerdict;
import org.pistachioline.core.retry.RetryDecision;

/**
 * Decides for every request on one daemon, without input, output or a clock.
 * <p>
 * The daemon and the trace replay call the same methods; each returns what must be done
 * next. One thread calls it. A request ends exactly once: by one {@code Finish},
 * {@code Fail} or {@code Replay}.
 */
public final class TrafficCore {

	private static final long RETRY_WITHOUT_CAPACITY_MILLIS = 1_000;

	private static final long LEAST_RETRY_MILLIS = 500;

	/**
	 * More than the tokens that were generated, but lost on the way, when a group died.
	 */
	private static final int TOKENS_PAST_DEATH = 16;

	/** Bounds the prefill that is paid again when group after group drains. */
	private static final int MOST_ATTEMPTS_WITH_SHIFTS = 6;

	/**
	 * How long a suspect waits before its second run. A copy may have killed another
	 * group at another daemon in the same moment; a few appends later both know.
	 */
	private static final long SUSPECT_WAIT_NANOS = 300_000_000L;

	/**
	 * How long a suspect that was giving tokens waits. Most killers crash a group before
	 * their first token; tried first and found, they free the others.
	 */
	private static final long UNLIKELY_SUSPECT_WAIT_NANOS = 1_000_000_000L;

	private final TrafficPolicies policies;

	private final Map<Long, Flight> flights = new LinkedHashMap<>();

	private final TargetBook targets;

	private final TargetChooser chooser;

	private final List<TrafficAction> actions = new ArrayList<>();

	private final Map<Long, RequestInfo> abandonedClaims = new HashMap<>();

	private final Resumptions resumptions = new Resumptions();

	private final Isolation isolation;

	private Manifest manifest = Manifest.EMPTY;

	private boolean leaving;

	/**
	 * Creates a core without configuration and targets.
	 * @param policies the behaviours that vary
	 */
	public TrafficCore(TrafficPolicies policies) {
		this.policies = policies;
		this.isolation = new Isolation(policies.killer());
		this.targets = new TargetBook(policies.placement());
		this.chooser = new TargetChooser(this.targets, this.isolation, policies.placement());
	}

	/**
	 * Takes over a configuration.
	 * @param nowNanos the monotonic time
	 * @param newManifest the manifest in force
	 * @return what must be done next
	 */
	public List<TrafficAction> onManifest(long nowNanos, Manifest newManifest) {
		this.manifest = newManifest;
		this.policies.admission().configure(nowNanos, newManifest);
		this.policies.queue().configure(newManifest);
		return pump(nowNanos);
	}

	/**
	 * Takes over the targets as they are known now.
	 * @param nowNanos the monotonic time
	 * @param views every target, serving or not
	 * @return what must be done next
	 */
	public List<TrafficAction> onTargets(long nowNanos, List<TargetView> views) {
		this.targets.update(nowNanos, views);
		endStranded(nowNanos);
		return pump(nowNanos);
	}

	/**
	 * Takes over where this daemon stands among the live ones and its shares of the
	 * limits.
	 * @param nowNanos the monotonic time
	 * @param rank this daemon's place
	 * @param shareRatios this daemon's share of each workspace's limits, by workspace
	 * @return what must be done next
	 */
	public List<TrafficAction> onShares(long nowNanos, DaemonRank rank, Map<String, Double> shareRatios) {
		this.policies.admission().share(nowNanos, shareRatios);
		this.targets.rank(nowNanos, rank);
		return pump(nowNanos);
	}

	private void endStranded(long nowNanos) {
		for (final Flight flight : List.copyOf(this.flights.values())) {
			if (flight.resuming && flight.attempts > 0 && !this.chooser.isPlaceable(flight)) {
				end(nowNanos, flight, ErrorKind.TARGET_FAILED, RETRY_WITHOUT_CAPACITY_MILLIS);
			}
		}
	}

	/**
	 * Takes over the quarantined and suspected requests that are agreed on the log.
	 * @param nowNanos the monotonic time
	 * @param quarantined the quarantined fingerprints
	 * @param suspectTargetIds for each suspected fingerprint the target that died
	 * @return what must be done next
	 */
	public List<TrafficAction> onKillers(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		this.policies.killer().onAgreed(nowNanos, quarantined, suspectTargetIds);
		for (final Flight flight : List.copyOf(this.flights.values())) {
			if (flight.liveAttempt == null && quarantined.contains(flight.info.fingerprint())) {
				end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
			}
		}
		return pump(nowNanos);
	}

	/**
	 * Takes word of what a target's prefix cache holds.
	 * @param nowNanos the monotonic time
	 * @param events the events, late and perhaps with gaps
	 */
	public void onCacheEvents(long nowNanos, CacheEvents events) {
		if (this.targets.isKnown(events.targetId())) {
			this.policies.placement().onCacheEvents(nowNanos, events);
		}
	}

	/**
	 * Takes a new request.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return what must be done next
	 */
	public List<TrafficAction> onRequest(long nowNanos, RequestInfo info) {
		final Flight flight = new Flight(info, nowNanos);
		final Optional<Refusal> refusal = refuse(nowNanos, info);
		if (refusal.isPresent()) {
			this.actions.add(new TrafficAction.Fail(info.requestId(), refusal.get().kind(), RunState.NOT_RUN,
					refusal.get().retryAfterMillis()));
			return drainActions();
		}
		this.flights.put(info.requestId(), flight);
		final Optional<Refusal> full = this.policies.queue().offer(nowNanos, info);
		if (full.isPresent()) {
			end(nowNanos, flight, full.get().kind(), full.get().retryAfterMillis());
			return pump(nowNanos);
		}
		flight.queued = true;
		return pump(nowNanos);
	}

	private Optional<Refusal> refuse(long nowNanos, RequestInfo info) {
		if (this.leaving) {
			return Optional.of(new Refusal(ErrorKind.LEAVING, LEAST_RETRY_MILLIS));
		}
		if (this.policies.killer().isQuarantined(info.fingerprint())) {
			return Optional.of(new Refusal(ErrorKind.QUARANTINED, 0));
		}
		if (!this.targets.isDeclared(info)) {
			return Optional.of(new Refusal(ErrorKind.NO_CAPACITY, RETRY_WITHOUT_CAPACITY_MILLIS));
		}
		return this.policies.admission().admit(nowNanos, info);
	}

	/**
	 * Takes the verdict on a claim.
	 * @param nowNanos the monotonic time
	 * @param requestId the request
	 * @param verdict the verdict
	 * @param claimOffset the claim's offset, where it was granted
	 * @return what must be done next
	 */
	public List<TrafficAction> onClaim(long nowNanos, long requestId, ClaimVerdict verdict, long claimOffset) {
		final Flight flight = this.flights.get(requestId);
		if (flight == null || !flight.claiming) {
			giveBack(requestId, verdict, claimOffset);
			return drainActions();
		}
		flight.claiming = false;
		switch (verdict) {
			case GRANTED -> {
				flight.claimOffset = claimOffset;
				startOrWait(nowNanos, flight);
			}
			case SETTLED -> {
				forget(nowNanos, flight);
				this.actions.add(new TrafficAction.Replay(requestId, flight.info));
			}
			case IN_PROGRESS -> end(nowNanos, flight, ErrorKind.KEY_IN_PROGRESS, RETRY_WITHOUT_CAPACITY_MILLIS);
			case UNKNOWN -> end(nowNanos, flight, ErrorKind.OUTCOME_UNKNOWN, 0);
			case REUSED -> end(nowNanos, flight, ErrorKind.KEY_REUSED, 0);
			case EXPIRED -> end(nowNanos, flight, ErrorKind.KEY_EXPIRED, 0);
			case UNAVAILABLE -> end(nowNanos, flight, ErrorKind.CLAIM_UNAVAILABLE, RETRY_WITHOUT_CAPACITY_MILLIS);
			case LIMBO -> endUnknown(nowNanos, flight);
		}
		return pump(nowNanos);
	}

	private void giveBack(long requestId, ClaimVerdict verdict, long claimOffset) {
		final RequestInfo info = this.abandonedClaims.remove(requestId);
		// The request ended as not run while its claim was on the way. Kept, the claim
		// would bar the caller's repeats of something that never ran.
		if (info != null && verdict == ClaimVerdict.GRANTED) {
			this.actions.add(new TrafficAction.Release(requestId, info, claimOffset));
		}
	}

	private void endUnknown(long nowNanos, Flight flight) {
		forget(nowNanos, flight);
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), ErrorKind.CLAIM_UNAVAILABLE, RunState.UNKNOWN,
				RETRY_WITHOUT_CAPACITY_MILLIS));
	}

	/**
	 * Notes how many tokens the caller has.
	 * @param nowNanos the monotonic time
	 * @param attempt the attempt
	 * @param tokensDelivered the tokens delivered in all
	 */
	public void onProgress(long nowNanos, AttemptId attempt, int tokensDelivered) {
		final Flight flight = live(attempt);
		if (flight == null) {
			return;
		}
		final boolean first = !flight.attemptRan;
		if (first) {
			this.policies.queue().onFirstToken(nowNanos, flight.info, nowNanos - flight.startedAtNanos);
		}
		flight.ran = true;
		flight.attemptRan = true;
		flight.load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, first);
		flight.progressAtNanos = nowNanos;
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
		if (flight.tokensDelivered > flight.resumedFromTokens) {
			this.isolation.onToken(flight);
		}
		if (flight.apart && flight.tokensDelivered >= flight.resumedFromTokens + TOKENS_PAST_DEATH) {
			this.policies.killer().onSurvived(flight.info.fingerprint(), false);
			this.isolation.onLeave(flight);
		}
	}

	/**
	 * Takes the end of an attempt.
	 * @param nowNanos the monotonic time
	 * @param attempt the attempt
	 * @param how how it ended
	 * @param tokensDelivered the tokens that the caller has in all
	 * @return what must be done next
	 */
	public List<TrafficAction> onAttemptEnd(long nowNanos, AttemptId attempt, AttemptEnd how, int tokensDelivered) {
		final Flight flight = live(attempt);
		if (flight == null) {
			return pump(nowNanos);
		}
		if (flight.attemptRan) {
			flight.load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, false);
		}
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
		final boolean shifted = flight.shifting;
		if (how == AttemptEnd.NOT_CONNECTED) {
			flight.sentAttempts--;
		}
		leaveTarget(nowNanos, flight, shifted ? AttemptEnd.CANCELLED : how);
		if (how == AttemptEnd.COMPLETE) {
			flight.ran = true;
			flight.complete = true;
			this.policies.killer().onSurvived(flight.info.fingerprint(), true);
			forget(nowNanos, flight);
			this.policies.retry().onSuccess(nowNanos);
			this.actions.add(new TrafficAction.Finish(attempt.requestId()));
			return pump(nowNanos);
		}
		if (shifted) {
			startOrWait(nowNanos, flight);
			return pump(nowNanos);
		}
		if (how == AttemptEnd.BROKEN) {
			noteDeath(nowNanos, flight);
		}
		afterFailure(nowNanos, flight, how);
		return pump(nowNanos);
	}

	private void leaveTarget(long nowNanos, Flight flight, AttemptEnd how) {
		flight.liveAttempt = null;
		flight.shifting = false;
		flight.load.onEnd(nowNanos, flight.info.costTokens(), how);
		this.targets.refresh(nowNanos, flight.info, flight.load);
		this.isolation.onLeave(flight);
	}

	private void noteDeath(long nowNanos, Flight flight) {
		if (flight.info.targetKind() != TargetKind.MODEL) {
			return;
		}
		final DeathVerdict verdict = this.policies.killer()
			.onDeath(nowNanos, flight.info.fingerprint(), flight.target.targetId());
		if (verdict != DeathVerdict.EXCUSED) {
			this.actions.add(new TrafficAction.Suspect(flight.info.requestId(), flight.info.fingerprint(),
					flight.target, verdict == DeathVerdict.QUARANTINED));
		}
		if (verdict == DeathVerdict.SUSPECTED) {
			final boolean likely = flight.tokensDelivered == flight.resumedFromTokens;
			flight.notBeforeNanos = nowNanos + (likely ? SUSPECT_WAIT_NANOS : UNLIKELY_SUSPECT_WAIT_NANOS);
		}
	}

	private void afterFailure(long nowNanos, Flight flight, AttemptEnd how) {
		if (this.policies.killer().isQuarantined(flight.info.fingerprint())) {
			end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
			return;
		}
		final boolean sendable = flight.info.idempotent() || !flight.bytesSent();
		final RetryDecision decision = sendable
				? this.policies.retry().afterFailure(nowNanos, flight.info, flight.attempts, how)
				: RetryDecision.GIVE_UP;
		if (decision == RetryDecision.RETRY && this.chooser.isPlaceable(flight)) {
			startOrWait(nowNanos, flight);
			return;
		}
		final ErrorKind kind = (how == AttemptEnd.MISMATCHED) ? ErrorKind.TARGET_PROTOCOL : ErrorKind.TARGET_FAILED;
		end(nowNanos, flight, kind, RETRY_WITHOUT_CAPACITY_MILLIS);
	}

	/**
	 * Takes word that a caller went away.
	 * @param nowNanos the monotonic time
	 * @param requestId the request
	 * @return what must be done next
	 */
	public List<TrafficAction> onCallerGone(long nowNanos, long requestId) {
		final Flight flight = this.flights.get(requestId);
		if (flight != null) {
			end(nowNanos, flight, ErrorKind.CALLER_GONE, 0);
		}
		return pump(nowNanos);
	}

	/**
	 * Lets time pass: deadlines, queues, limits.
	 * @param nowNanos the monotonic time
	 * @return what must be done next
	 */
	public List<TrafficAction> onTick(long nowNanos) {
		this.targets.onTick(nowNanos);
		this.policies.killer().onTick(nowNanos);
		for (final Flight flight : List.copyOf(this.flights.values())) {
			if (nowNanos >= flight.info.totalDeadlineNanos()) {
				end(nowNanos, flight, flight.bytesSent() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE,
						0);
			}
			else if (flight.resuming && !flight.bytesSent() && nowNanos >= flight.info.firstTokenDeadlineNanos()) {
				end(nowNanos, flight, ErrorKind.DEADLINE_UNREACHABLE, RETRY_WITHOUT_CAPACITY_MILLIS);
			}
			else {
				shiftIfDue(nowNanos, flight);
			}
		}
		return pump(nowNanos);
	}

	private void shiftIfDue(long nowNanos, Flight flight) {
		if (flight.liveAttempt == null
				|| !ShiftRules.isDue(nowNanos, flight, this.targets.notServingSinceNanos(flight.target.targetId()))) {
			return;
		}
		final boolean elsewhere = flight.attempts < MOST_ATTEMPTS_WITH_SHIFTS && this.chooser.hasUntried(flight);
		if (elsewhere) {
			// The next attempt starts when this one is reported as ended, with the exact
			// count of the tokens that the caller has: never two at once, none lost.
			flight.shifting = true;
			this.actions.add(new TrafficAction.Cancel(flight.liveAttempt));
		}
	}

	/**
	 * Stops taking new requests; those held are finished.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Returns the demand for which this daemon wants its shares of the limits.
	 * @param nowNanos the monotonic time
	 * @return the demand, by workspace
	 */
	public Map<String, Double> demand(long nowNanos) {
		return this.policies.admission().demand(nowNanos);
	}

	/**
	 * Returns how many requests are held.
	 * @return the number of requests that have not ended
	 */
	public int held() {
		return this.flights.size();
	}

	/**
	 * Returns how many requests wait in the queue.
	 * @return the number of queued requests
	 */
	public int queued() {
		return this.policies.queue().size() + this.resumptions.size();
	}

	/**
	 * Returns the manifest in force.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	private List<TrafficAction> pump(long nowNanos) {
		for (final RequestInfo expired : this.policies.queue().expire(nowNanos)) {
			final Flight flight = this.flights.get(expired.requestId());
			if (flight != null) {
				flight.queued = false;
				end(nowNanos, flight, ErrorKind.DEADLINE_UNREACHABLE, RETRY_WITHOUT_CAPACITY_MILLIS);
			}
		}
		this.resumptions.poll(nowNanos, this.chooser::hasChoice, (flight) -> dispatch(nowNanos, flight));
		Optional<RequestInfo> next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		while (next.isPresent()) {
			final Flight flight = this.flights.get(next.get().requestId());
			if (flight != null) {
				flight.queued = false;
				dispatch(nowNanos, flight);
			}
			next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		}
		return drainActions();
	}

	private void dispatch(long nowNanos, Flight flight) {
		if (this.policies.killer().isQuarantined(flight.info.fingerprint())) {
			end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
			return;
		}
		if (flight.info.claim().isNeeded() && flight.claimOffset < 0) {
			flight.claiming = true;
			this.actions.add(new TrafficAction.Claim(flight.info.requestId(), flight.info));
			return;
		}
		startOrWait(nowNanos, flight);
	}

	private void startOrWait(long nowNanos, Flight flight) {
		final boolean mayStart = nowNanos - flight.notBeforeNanos >= 0;
		final Optional<TargetLoad> chosen = mayStart ? this.chooser.choose(nowNanos, flight) : Optional.empty();
		if (chosen.isPresent()) {
			start(nowNanos, flight, chosen.get());
		}
		else {
			this.resumptions.add(flight);
		}
	}

	private void start(long nowNanos, Flight flight, TargetLoad load) {
		flight.attempts++;
		// Counted as sent before a byte can leave: a crash in between must not read as
		// "not run".
		flight.sentAttempts++;
		flight.liveAttempt = new AttemptId(flight.info.requestId(), flight.attempts);
		flight.target = load.view();
		flight.load = load;
		flight.resumedFromTokens = flight.tokensDelivered;
		flight.triedTargetIds.add(load.view().targetId());
		flight.startedAtNanos = nowNanos;
		flight.attemptRan = false;
		flight.progressAtNanos = nowNanos;
		load.onStart(nowNanos, flight.info.costTokens());
		this.isolation.onStart(flight);
		this.targets.refresh(nowNanos, flight.info, load);
		this.policies.placement().onPlaced(nowNanos, flight.info, load);
		this.actions.add(new TrafficAction.Start(flight.liveAttempt, load.view(), flight.tokensDelivered));
	}

	private void end(long nowNanos, Flight flight, ErrorKind kind, long retryAfterMillis) {
		if (flight.liveAttempt != null) {
			this.actions.add(new TrafficAction.Cancel(flight.liveAttempt));
			leaveTarget(nowNanos, flight, AttemptEnd.CANCELLED);
		}
		if (flight.claimOffset >= 0 && !flight.bytesSent()) {
			this.actions.add(new TrafficAction.Release(flight.info.requestId(), flight.info, flight.claimOffset));
		}
		forget(nowNanos, flight);
		// A kind that says "not run" by itself must not be used once bytes have left.
		final RunState runState = runStateOf(kind, flight);
		// Whoever may come back is told when: one who is told nothing comes at once.
		final long afterMillis = kind.retryable() ? Math.max(retryAfterMillis, LEAST_RETRY_MILLIS) : retryAfterMillis;
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), kind, runState, afterMillis));
	}

	private static RunState runStateOf(ErrorKind kind, Flight flight) {
		final boolean keyed = kind == ErrorKind.KEY_IN_PROGRESS || kind == ErrorKind.OUTCOME_UNKNOWN
				|| kind == ErrorKind.KEY_EXPIRED;
		return keyed ? RunState.UNKNOWN : flight.runState();
	}

	private void forget(long nowNanos, Flight flight) {
		this.flights.remove(flight.info.requestId());
		if (flight.queued) {
			this.policies.queue().remove(flight.info.requestId());
		}
		this.policies.queue()
			.onEnded(nowNanos, flight.info, flight.complete, flight.tokensDelivered, nowNanos - flight.startedAtNanos);
		this.resumptions.remove(flight);
		if (flight.claiming) {
			this.abandonedClaims.put(flight.info.requestId(), flight.info);
		}
		this.policies.admission().release(nowNanos, flight.info);
	}

	/**
	 * Returns whether an attempt is still waited for.
	 * @param attempt the attempt
	 * @return whether its answer counts
	 */
	public boolean isLive(AttemptId attempt) {
		return live(attempt) != null;
	}

	private Flight live(AttemptId attempt) {
		final Flight flight = this.flights.get(attempt.requestId());
		return (flight != null && attempt.equals(flight.liveAttempt)) ? flight : null;
	}

	private List<TrafficAction> drainActions() {
		final List<TrafficAction> drained = List.copyOf(this.actions);
		this.actions.clear();
		return drained;
	}

}
