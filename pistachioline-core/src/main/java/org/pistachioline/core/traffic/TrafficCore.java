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
import org.pistachioline.core.placement.TargetSet;
import org.pistachioline.core.retry.RetryDecision;

/**
 * Decides for every request on one daemon, without input, output or a clock.
 * <p>
 * The daemon and the trace replay call the same methods; each returns what must be done
 * next. One thread calls it. A request ends exactly once: by one {@code Finish},
 * {@code Fail} or {@code Replay}.
 */
public final class TrafficCore {

	private static final String SERVICE_PREFIX = "service:";

	private static final long RETRY_WITHOUT_CAPACITY_MILLIS = 1_000;

	private static final long LEAST_RETRY_MILLIS = 500;

	private final TrafficPolicies policies;

	private final Map<Long, Flight> flights = new LinkedHashMap<>();

	private final Map<String, TargetLoad> loads = new HashMap<>();

	private final Map<String, TargetSet> setsByName = new HashMap<>();

	private final List<TrafficAction> actions = new ArrayList<>();

	private Manifest manifest = Manifest.EMPTY;

	private boolean leaving;

	private DaemonRank daemons = DaemonRank.ALONE;

	/**
	 * Creates a core without configuration and targets.
	 * @param policies the behaviours that vary
	 */
	public TrafficCore(TrafficPolicies policies) {
		this.policies = policies;
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
	 * @param targets every target, serving or not
	 * @return what must be done next
	 */
	public List<TrafficAction> onTargets(long nowNanos, List<TargetView> targets) {
		final Map<String, TargetLoad> next = new HashMap<>();
		final Map<String, List<TargetLoad>> byName = new HashMap<>();
		for (final TargetView view : targets) {
			TargetLoad load = this.loads.get(view.targetId());
			if (load == null) {
				load = new TargetLoad(view, nowNanos);
			}
			else {
				load.update(view, nowNanos);
			}
			next.put(view.targetId(), load);
			byName.computeIfAbsent(nameKey(view.kind(), view.name()), (key) -> new ArrayList<>()).add(load);
		}
		this.loads.keySet().forEach((targetId) -> {
			if (!next.containsKey(targetId)) {
				this.policies.placement().forget(targetId);
			}
		});
		this.loads.clear();
		this.loads.putAll(next);
		this.setsByName.keySet().retainAll(byName.keySet());
		byName.forEach((name, members) -> this.setsByName
			.computeIfAbsent(name, (key) -> new TargetSet(this.policies.placement().guardsTargets()))
			.replace(nowNanos, members, this.daemons));
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
		this.daemons = rank;
		this.policies.admission().share(nowNanos, shareRatios);
		this.setsByName.values().forEach((set) -> set.refresh(nowNanos, this.daemons));
		return pump(nowNanos);
	}

	/**
	 * Takes word of what a target's prefix cache holds.
	 * @param nowNanos the monotonic time
	 * @param events the events, late and perhaps with gaps
	 */
	public void onCacheEvents(long nowNanos, CacheEvents events) {
		if (this.loads.containsKey(events.targetId())) {
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
		if (!this.setsByName.containsKey(nameKey(info.targetKind(), info.name()))) {
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
		if (flight == null) {
			return drainActions();
		}
		switch (verdict) {
			case GRANTED -> {
				flight.claimOffset = claimOffset;
				startOrRequeue(nowNanos, flight);
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
		}
		return pump(nowNanos);
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
		final TargetLoad load = this.loads.get(flight.target.targetId());
		final boolean first = !flight.attemptRan;
		if (first) {
			this.policies.queue().onFirstToken(nowNanos, flight.info, nowNanos - flight.startedAtNanos);
		}
		flight.ran = true;
		flight.attemptRan = true;
		if (load != null) {
			load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, first);
		}
		flight.progressAtNanos = nowNanos;
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
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
		final TargetLoad load = this.loads.get(flight.target.targetId());
		if (load != null && flight.attemptRan) {
			load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, false);
		}
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
		flight.liveAttempt = null;
		if (how == AttemptEnd.NOT_CONNECTED) {
			flight.sentAttempts--;
		}
		if (load != null) {
			load.onEnd(nowNanos, flight.info.costTokens(), how);
			refresh(nowNanos, flight.info, load);
		}
		if (how == AttemptEnd.COMPLETE) {
			flight.ran = true;
			flight.complete = true;
			forget(nowNanos, flight);
			this.policies.retry().onSuccess(nowNanos);
			this.actions.add(new TrafficAction.Finish(attempt.requestId()));
			return pump(nowNanos);
		}
		if (how == AttemptEnd.BROKEN) {
			noteDeath(nowNanos, flight);
		}
		afterFailure(nowNanos, flight, how);
		return pump(nowNanos);
	}

	private void noteDeath(long nowNanos, Flight flight) {
		if (flight.info.targetKind() != TargetKind.MODEL) {
			return;
		}
		final boolean quarantine = this.policies.killer()
			.onDeath(nowNanos, flight.info.fingerprint(), flight.target.targetId());
		this.actions.add(new TrafficAction.Suspect(flight.info.requestId(), flight.info.fingerprint(), flight.target,
				quarantine));
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
		if (decision == RetryDecision.RETRY) {
			startOrRequeue(nowNanos, flight);
			return;
		}
		final ErrorKind kind = (how == AttemptEnd.MISMATCHED) ? ErrorKind.TARGET_PROTOCOL : ErrorKind.TARGET_FAILED;
		end(nowNanos, flight, kind, 0);
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
		this.setsByName.values().forEach((set) -> set.onTick(nowNanos, this.daemons));
		for (final Flight flight : List.copyOf(this.flights.values())) {
			if (nowNanos >= flight.info.totalDeadlineNanos()) {
				end(nowNanos, flight, flight.bytesSent() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE,
						0);
			}
		}
		return pump(nowNanos);
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
		return this.policies.queue().size();
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
		Optional<RequestInfo> next = this.policies.queue().poll(nowNanos, this::freeSlots);
		while (next.isPresent()) {
			final Flight flight = this.flights.get(next.get().requestId());
			if (flight != null) {
				flight.queued = false;
				dispatch(nowNanos, flight);
			}
			next = this.policies.queue().poll(nowNanos, this::freeSlots);
		}
		return drainActions();
	}

	private int freeSlots(RequestInfo info) {
		final TargetSet set = set(info);
		return (set != null) ? set.freeSlots() : 0;
	}

	private void dispatch(long nowNanos, Flight flight) {
		if (flight.info.claim().isNeeded() && flight.claimOffset < 0) {
			this.actions.add(new TrafficAction.Claim(flight.info.requestId(), flight.info));
			return;
		}
		startOrRequeue(nowNanos, flight);
	}

	private void startOrRequeue(long nowNanos, Flight flight) {
		final Optional<TargetLoad> chosen = choose(nowNanos, flight);
		if (chosen.isPresent()) {
			start(nowNanos, flight, chosen.get());
			return;
		}
		final Optional<Refusal> full = this.policies.queue().offer(nowNanos, flight.info);
		if (full.isPresent()) {
			end(nowNanos, flight, full.get().kind(), full.get().retryAfterMillis());
			return;
		}
		flight.queued = true;
	}

	private Optional<TargetLoad> choose(long nowNanos, Flight flight) {
		final TargetSet set = set(flight.info);
		if (set == null) {
			return Optional.empty();
		}
		final Optional<TargetLoad> fresh = this.policies.placement()
			.choose(nowNanos, flight.info, set, flight.triedTargetIds);
		if (fresh.isPresent() || flight.triedTargetIds.isEmpty()) {
			return fresh;
		}
		// Every target with room was tried before: one of them again is better than to
		// wait for ever, and a queue that hands the request out anew would spin.
		return this.policies.placement().choose(nowNanos, flight.info, set, Set.of());
	}

	private void start(long nowNanos, Flight flight, TargetLoad load) {
		flight.attempts++;
		// Counted as sent before a byte can leave: a crash in between must not read as
		// "not run".
		flight.sentAttempts++;
		flight.liveAttempt = new AttemptId(flight.info.requestId(), flight.attempts);
		flight.target = load.view();
		flight.triedTargetIds.add(load.view().targetId());
		flight.startedAtNanos = nowNanos;
		flight.attemptRan = false;
		flight.progressAtNanos = nowNanos;
		load.onStart(nowNanos, flight.info.costTokens());
		refresh(nowNanos, flight.info, load);
		this.policies.placement().onPlaced(nowNanos, flight.info, load);
		this.actions.add(new TrafficAction.Start(flight.liveAttempt, load.view(), flight.tokensDelivered));
	}

	private void end(long nowNanos, Flight flight, ErrorKind kind, long retryAfterMillis) {
		if (flight.liveAttempt != null) {
			this.actions.add(new TrafficAction.Cancel(flight.liveAttempt));
			final TargetLoad load = this.loads.get(flight.target.targetId());
			if (load != null) {
				load.onEnd(nowNanos, flight.info.costTokens(), AttemptEnd.CANCELLED);
				refresh(nowNanos, flight.info, load);
			}
			flight.liveAttempt = null;
		}
		if (flight.claimOffset >= 0 && !flight.bytesSent()) {
			this.actions.add(new TrafficAction.Release(flight.info.requestId(), flight.info, flight.claimOffset));
		}
		forget(nowNanos, flight);
		// A kind that says "not run" by itself must not be used once bytes have left.
		final RunState runState = (kind.runState() == RunState.NOT_RUN && !flight.bytesSent()) ? RunState.NOT_RUN
				: strongest(kind, flight);
		// Whoever may come back is told when: one who is told nothing comes at once.
		final long afterMillis = kind.retryable() ? Math.max(retryAfterMillis, LEAST_RETRY_MILLIS) : retryAfterMillis;
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), kind, runState, afterMillis));
	}

	private static RunState strongest(ErrorKind kind, Flight flight) {
		final RunState seen = flight.runState();
		final boolean keyed = kind == ErrorKind.KEY_IN_PROGRESS || kind == ErrorKind.OUTCOME_UNKNOWN
				|| kind == ErrorKind.KEY_EXPIRED;
		return keyed ? RunState.UNKNOWN : seen;
	}

	private void forget(long nowNanos, Flight flight) {
		this.flights.remove(flight.info.requestId());
		if (flight.queued) {
			this.policies.queue().remove(flight.info.requestId());
		}
		this.policies.queue()
			.onEnded(nowNanos, flight.info, flight.complete, flight.tokensDelivered, nowNanos - flight.startedAtNanos);
		this.policies.admission().release(nowNanos, flight.info);
	}

	private Flight live(AttemptId attempt) {
		final Flight flight = this.flights.get(attempt.requestId());
		return (flight != null && attempt.equals(flight.liveAttempt)) ? flight : null;
	}

	private TargetSet set(RequestInfo info) {
		return this.setsByName.get(nameKey(info.targetKind(), info.name()));
	}

	private void refresh(long nowNanos, RequestInfo info, TargetLoad load) {
		final TargetSet set = set(info);
		if (set != null) {
			set.refresh(nowNanos, this.daemons, load);
		}
	}

	private List<TrafficAction> drainActions() {
		final List<TrafficAction> drained = List.copyOf(this.actions);
		this.actions.clear();
		return drained;
	}

	private static String nameKey(TargetKind kind, String name) {
		return (kind == TargetKind.MODEL) ? name : SERVICE_PREFIX + name;
	}

}
