package org.pistachioline.core.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.placement.LiveDaemons;

/**
 * Decides for every request on one daemon, without input, output or a clock.
 * <p>
 * The daemon and the trace replay call the same methods; each returns what must be done
 * next. One thread calls it. A request ends exactly once: by one {@code Finish},
 * {@code Fail} or {@code Replay}.
 */
public final class TrafficCore {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final ActiveRequests activeRequests;

	private final TargetRegistry targets;

	private final TargetSelector selector;

	private final RedispatchQueue redispatchQueue = new RedispatchQueue();

	private final Dispatcher dispatcher;

	private final SuspectIsolation isolation;

	private final SuspectTracker suspectTracker;

	private final RequestMonitor monitor;

	private final DeadlineAdmission deadlineAdmission;

	private final AttemptOutcomeHandler outcomes;

	private final TargetLimits targetLimits;

	private final TargetBackoffs targetBackoffs;

	private final TargetCrashes targetCrashes;

	private Manifest manifest = Manifest.EMPTY;

	private boolean leaving;

	/**
	 * Creates a core without configuration and targets.
	 * @param policies the behaviours that vary
	 */
	public TrafficCore(TrafficPolicies policies) {
		this.policies = policies;
		this.isolation = new SuspectIsolation(policies.quarantine());
		this.targets = new TargetRegistry(policies.placement());
		this.activeRequests = new ActiveRequests(policies, this.targets, this.isolation, this.redispatchQueue);
		this.suspectTracker = new SuspectTracker(policies.quarantine(), this.isolation, this.activeRequests);
		this.selector = new TargetSelector(this.targets, this.isolation, policies.placement());
		this.dispatcher = new Dispatcher(policies, this.activeRequests, this.targets, this.selector, this.isolation,
				this.redispatchQueue);
		this.deadlineAdmission = new DeadlineAdmission(this.targets, this.activeRequests);
		this.outcomes = new AttemptOutcomeHandler(policies, this.activeRequests, this.selector, this.suspectTracker,
				this.dispatcher, this.deadlineAdmission);
		this.targetLimits = new TargetLimits(this.targets, this.deadlineAdmission);
		this.targetBackoffs = new TargetBackoffs(this.targets, this.deadlineAdmission);
		this.targetCrashes = new TargetCrashes(policies.quarantine(), this.activeRequests);
		this.monitor = new RequestMonitor(this.activeRequests, this.targets, this.selector, policies);
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
		return dispatchReady(nowNanos);
	}

	/**
	 * Takes over the targets as they are known now.
	 * @param nowNanos the monotonic time
	 * @param views every target, serving or not
	 * @return what must be done next
	 */
	public List<TrafficAction> onTargets(long nowNanos, List<TargetView> views) {
		this.targets.update(nowNanos, views);
		this.outcomes.failUnplaceable(nowNanos);
		return dispatchReady(nowNanos);
	}

	/**
	 * Takes over which daemons live and this one's shares of the limits.
	 * @param nowNanos the monotonic time
	 * @param daemons the live daemons
	 * @param shareRatios this daemon's share of each workspace's limits, by workspace
	 * @return what must be done next
	 */
	public List<TrafficAction> onShares(long nowNanos, LiveDaemons daemons, Map<String, Double> shareRatios) {
		this.policies.admission().updateShares(nowNanos, shareRatios);
		this.targets.onLiveDaemons(nowNanos, daemons);
		return dispatchReady(nowNanos);
	}

	/**
	 * Takes over the quarantined and suspected requests that are agreed on the log.
	 * @param nowNanos the monotonic time
	 * @param quarantined the quarantined fingerprints
	 * @param suspectTargetIds for each suspected fingerprint the target that died
	 * @return what must be done next
	 */
	public List<TrafficAction> onQuarantines(long nowNanos, Set<String> quarantined,
			Map<String, String> suspectTargetIds) {
		this.policies.quarantine().onLogState(nowNanos, quarantined, suspectTargetIds);
		for (final ActiveRequest flight : this.activeRequests.all()) {
			if (flight.liveAttempt == null && quarantined.contains(flight.info.fingerprint())) {
				this.activeRequests.fail(nowNanos, flight, ErrorKind.QUARANTINED, 0);
			}
		}
		return dispatchReady(nowNanos);
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
		final ActiveRequest flight = new ActiveRequest(info, nowNanos);
		final Optional<Refusal> refusal = checkAdmission(nowNanos, info);
		if (refusal.isPresent()) {
			this.activeRequests.addAction(new TrafficAction.Fail(info.requestId(), refusal.get().kind(),
					RunState.NOT_RUN, refusal.get().retryAfterMillis()));
			return this.activeRequests.drainActions();
		}
		this.activeRequests.add(flight);
		this.policies.retry().onArrival(nowNanos, info);
		final Optional<Refusal> full = this.policies.queue().offer(nowNanos, info);
		if (full.isPresent()) {
			this.activeRequests.fail(nowNanos, flight, full.get().kind(), full.get().retryAfterMillis());
			return dispatchReady(nowNanos);
		}
		flight.queued = true;
		return dispatchReady(nowNanos);
	}

	private Optional<Refusal> checkAdmission(long nowNanos, RequestInfo info) {
		if (this.leaving) {
			return Optional.of(new Refusal(ErrorKind.LEAVING, ActiveRequests.MIN_RETRY_AFTER_MILLIS));
		}
		if (this.policies.quarantine().isQuarantined(info.fingerprint())) {
			return Optional.of(new Refusal(ErrorKind.QUARANTINED, 0));
		}
		if (!this.targets.hasTargetSet(info)) {
			return Optional.of(new Refusal(ErrorKind.NO_CAPACITY, RETRY_AFTER_MILLIS));
		}
		return this.deadlineAdmission.check(nowNanos, info).or(() -> this.policies.admission().admit(nowNanos, info));
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
		final ActiveRequest flight = this.activeRequests.get(requestId);
		if (flight == null || !flight.claimPending) {
			this.activeRequests.releaseAbandonedClaim(requestId, verdict, claimOffset);
			return this.activeRequests.drainActions();
		}
		flight.claimPending = false;
		switch (verdict) {
			case GRANTED -> {
				flight.claimOffset = claimOffset;
				this.dispatcher.startOrEnqueue(nowNanos, flight);
			}
			case SETTLED -> {
				this.activeRequests.remove(nowNanos, flight);
				this.activeRequests.addAction(new TrafficAction.Replay(requestId, flight.info));
			}
			case IN_PROGRESS ->
				this.activeRequests.fail(nowNanos, flight, ErrorKind.KEY_IN_PROGRESS, RETRY_AFTER_MILLIS);
			case UNKNOWN -> this.activeRequests.fail(nowNanos, flight, ErrorKind.OUTCOME_UNKNOWN, 0);
			case REUSED -> this.activeRequests.fail(nowNanos, flight, ErrorKind.KEY_REUSED, 0);
			case EXPIRED -> this.activeRequests.fail(nowNanos, flight, ErrorKind.KEY_EXPIRED, 0);
			case UNAVAILABLE ->
				this.activeRequests.fail(nowNanos, flight, ErrorKind.CLAIM_UNAVAILABLE, RETRY_AFTER_MILLIS);
			case LIMBO -> this.activeRequests.failInLimbo(nowNanos, flight);
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Notes how many tokens the caller has.
	 * @param nowNanos the monotonic time
	 * @param attempt the attempt
	 * @param tokensDelivered the tokens delivered in all
	 */
	public void onProgress(long nowNanos, AttemptId attempt, int tokensDelivered) {
		final ActiveRequest flight = this.activeRequests.findLive(attempt);
		if (flight == null) {
			return;
		}
		final boolean first = !flight.attemptHasOutput;
		if (first) {
			this.policies.queue().onFirstToken(nowNanos, flight.info, nowNanos - flight.attemptStartedAtNanos);
		}
		flight.hasRun = true;
		flight.attemptHasOutput = true;
		flight.load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, first);
		flight.progressAtNanos = nowNanos;
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
		this.suspectTracker.onTokens(flight);
	}

	/**
	 * Returns the limits that instances name, to which this core keeps.
	 * @return the limits
	 */
	public TargetLimits targetLimits() {
		return this.targetLimits;
	}

	/**
	 * Returns the instances that want no requests, from which this core keeps away.
	 * @return the instances
	 */
	public TargetBackoffs targetBackoffs() {
		return this.targetBackoffs;
	}

	/**
	 * Returns what is known of requests that crash targets.
	 * @return the targets that crashed, and under what
	 */
	public TargetCrashes targetCrashes() {
		return this.targetCrashes;
	}

	/**
	 * Takes the end of an attempt.
	 * @param nowNanos the monotonic time
	 * @param attempt the attempt
	 * @param how how it ended
	 * @param tokensDelivered the tokens that the caller has in all
	 * @return what must be done next
	 */
	public List<TrafficAction> onAttemptEnd(long nowNanos, AttemptId attempt, AttemptOutcome how, int tokensDelivered) {
		final ActiveRequest flight = this.activeRequests.findLive(attempt);
		if (flight != null) {
			this.outcomes.onAttemptEnd(nowNanos, flight, how, tokensDelivered);
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Takes word that a caller went away.
	 * @param nowNanos the monotonic time
	 * @param requestId the request
	 * @return what must be done next
	 */
	public List<TrafficAction> onCallerDisconnected(long nowNanos, long requestId) {
		final ActiveRequest flight = this.activeRequests.get(requestId);
		if (flight != null) {
			this.activeRequests.fail(nowNanos, flight, ErrorKind.CALLER_GONE, 0);
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Lets time pass: deadlines, queues, limits.
	 * @param nowNanos the monotonic time
	 * @return what must be done next
	 */
	public List<TrafficAction> onTick(long nowNanos) {
		this.targets.onTick(nowNanos);
		this.policies.quarantine().onTick(nowNanos);
		this.monitor.onTick(nowNanos);
		this.deadlineAdmission.onTick(nowNanos);
		this.outcomes.failUnplaceable(nowNanos);
		return dispatchReady(nowNanos);
	}

	/**
	 * Stops taking new requests; those held are finished.
	 */
	public void stopAdmission() {
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
	public int activeRequestCount() {
		return this.activeRequests.size();
	}

	/**
	 * Returns how many requests wait in the queue.
	 * @return the number of queued requests
	 */
	public int queuedRequestCount() {
		return this.policies.queue().size() + this.redispatchQueue.size();
	}

	/**
	 * Returns the manifest in force.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	private List<TrafficAction> dispatchReady(long nowNanos) {
		this.dispatcher.dispatchReady(nowNanos);
		return this.activeRequests.drainActions();
	}

	/**
	 * Returns whether an attempt is still waited for.
	 * @param attempt the attempt
	 * @return whether its answer counts
	 */
	public boolean isLive(AttemptId attempt) {
		return this.activeRequests.findLive(attempt) != null;
	}

}
