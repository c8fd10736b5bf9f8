package org.pistachioline.core.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.placement.PlacementReport;
import org.pistachioline.core.quarantine.CrashPhase;

/**
 * Makes all decisions about the requests on one daemon. It does no I/O and reads no
 * clock: time is passed in.
 * <p>
 * The daemon and the trace replay call the same methods; each returns the actions to be
 * carried out next. All calls must come from one thread. A request ends exactly once: by
 * one {@code Finish}, {@code Fail} or {@code Replay}.
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

	private final TargetColdness targetColdness;

	private final TargetBackoffs targetBackoffs;

	private final TargetCrashes targetCrashes;

	private Manifest manifest = Manifest.EMPTY;

	private final CompletionTimes completionTimes = new CompletionTimes();

	private final OutputPace outputPace = new OutputPace();

	private final DrainAdmission drainAdmission;

	private final ArrivalAdmission arrivalAdmission;

	/**
	 * Creates a core without configuration and targets.
	 * @param policies the exchangeable policies
	 */
	public TrafficCore(TrafficPolicies policies) {
		this.policies = policies;
		this.isolation = new SuspectIsolation(policies.quarantine());
		this.targets = new TargetRegistry(policies.placement());
		this.activeRequests = new ActiveRequests(policies, this.targets, this.isolation, this.redispatchQueue,
				this.completionTimes, this.outputPace);
		this.drainAdmission = new DrainAdmission(this.completionTimes, this.outputPace, this.activeRequests);
		this.suspectTracker = new SuspectTracker(policies.quarantine(), this.isolation, this.activeRequests);
		this.selector = new TargetSelector(this.targets, this.isolation, policies.placement());
		this.dispatcher = new Dispatcher(policies, this.activeRequests, this.targets, this.selector, this.isolation,
				this.redispatchQueue);
		this.deadlineAdmission = new DeadlineAdmission(this.targets, this.activeRequests);
		this.arrivalAdmission = new ArrivalAdmission(policies, this.targets, this.drainAdmission,
				this.deadlineAdmission);
		this.outcomes = new AttemptOutcomeHandler(policies, this.activeRequests, this.selector, this.suspectTracker,
				this.dispatcher, this.deadlineAdmission);
		this.targetLimits = new TargetLimits(this.targets, this.deadlineAdmission);
		this.targetColdness = new TargetColdness(this.targets, this.deadlineAdmission);
		this.targetBackoffs = new TargetBackoffs(this.targets, this.deadlineAdmission);
		this.targetCrashes = new TargetCrashes(policies.quarantine(), this.activeRequests);
		policies.admission().bind(this.targets);
		this.monitor = new RequestMonitor(this.activeRequests, this.targets, this.selector, policies);
	}

	/**
	 * Applies a new configuration.
	 * @param nowNanos the monotonic time
	 * @param newManifest the manifest in force
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onManifest(long nowNanos, Manifest newManifest) {
		this.manifest = newManifest;
		this.policies.admission().configure(nowNanos, newManifest);
		this.policies.queue().configure(newManifest);
		return dispatchReady(nowNanos);
	}

	/**
	 * Replaces the known targets.
	 * @param nowNanos the monotonic time
	 * @param views all targets, serving or not
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onTargets(long nowNanos, List<TargetView> views) {
		this.targets.update(nowNanos, views);
		this.outcomes.failUnplaceable(nowNanos);
		return dispatchReady(nowNanos);
	}

	/**
	 * Applies the set of live daemons and this daemon's shares of the workspace limits.
	 * @param nowNanos the monotonic time
	 * @param daemons the live daemons
	 * @param shareRatios this daemon's share of each workspace's limits, by workspace
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onShares(long nowNanos, LiveDaemons daemons, Map<String, Double> shareRatios) {
		this.policies.admission().updateShares(nowNanos, shareRatios);
		this.targets.onLiveDaemons(nowNanos, daemons);
		return dispatchReady(nowNanos);
	}

	/**
	 * Applies the quarantined and suspected requests that are recorded on the log.
	 * @param nowNanos the monotonic time
	 * @param quarantined the quarantined fingerprints
	 * @param suspectTargetIds the target that crashed, by suspected fingerprint
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onQuarantines(long nowNanos, Set<String> quarantined,
			Map<String, String> suspectTargetIds) {
		this.policies.quarantine().onLogState(nowNanos, quarantined, suspectTargetIds);
		for (final ActiveRequest request : this.activeRequests.all()) {
			if (request.liveAttempt == null && quarantined.contains(request.info.fingerprint())) {
				this.activeRequests.fail(nowNanos, request, ErrorKind.QUARANTINED, 0);
			}
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Records changes to the contents of a target's prefix cache.
	 * @param nowNanos the monotonic time
	 * @param events the events, which may be late and incomplete
	 */
	public void onCacheEvents(long nowNanos, CacheEvents events) {
		if (this.targets.isKnown(events.targetId())) {
			this.policies.placement().onCacheEvents(nowNanos, events);
		}
	}

	/**
	 * Admits and queues a new request, or refuses it.
	 * @param nowNanos the monotonic time
	 * @param arrived the request
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onRequest(long nowNanos, RequestInfo arrived) {
		final RequestInfo info = this.policies.admission().onArrival(nowNanos, arrived);
		final ActiveRequest request = new ActiveRequest(info, nowNanos);
		final Optional<TrafficAction.Fail> refusal = this.arrivalAdmission.check(nowNanos, info);
		if (refusal.isPresent()) {
			this.activeRequests.addAction(refusal.get());
			return this.activeRequests.drainActions();
		}
		this.activeRequests.add(request);
		this.policies.retry().onArrival(nowNanos, info);
		final Optional<Refusal> queueRefusal = this.policies.queue().offer(nowNanos, info);
		if (queueRefusal.isPresent()) {
			this.activeRequests.fail(nowNanos, request, queueRefusal.get().kind(),
					this.policies.admission().retryAfterMillis(nowNanos, info, queueRefusal.get().retryAfterMillis()));
			return dispatchReady(nowNanos);
		}
		request.queued = true;
		return dispatchReady(nowNanos);
	}

	/**
	 * Handles the result of a claim: starts the request, or ends it according to the
	 * verdict.
	 * @param nowNanos the monotonic time
	 * @param requestId the request
	 * @param verdict the verdict
	 * @param claimOffset the claim's offset on the log, if it was granted
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onClaim(long nowNanos, long requestId, ClaimVerdict verdict, long claimOffset) {
		final ActiveRequest request = this.activeRequests.get(requestId);
		if (request == null || !request.claimPending) {
			this.activeRequests.releaseAbandonedClaim(requestId, verdict, claimOffset);
			return this.activeRequests.drainActions();
		}
		request.claimPending = false;
		switch (verdict) {
			case GRANTED -> {
				request.claimOffset = claimOffset;
				this.dispatcher.startOrEnqueue(nowNanos, request);
			}
			case SETTLED -> {
				this.activeRequests.remove(nowNanos, request);
				this.activeRequests.addAction(new TrafficAction.Replay(requestId, request.info));
			}
			case IN_PROGRESS ->
				this.activeRequests.fail(nowNanos, request, ErrorKind.KEY_IN_PROGRESS, RETRY_AFTER_MILLIS);
			case UNKNOWN -> this.activeRequests.fail(nowNanos, request, ErrorKind.OUTCOME_UNKNOWN, 0);
			case REUSED -> this.activeRequests.fail(nowNanos, request, ErrorKind.KEY_REUSED, 0);
			case EXPIRED -> this.activeRequests.fail(nowNanos, request, ErrorKind.KEY_EXPIRED, 0);
			case UNAVAILABLE ->
				this.activeRequests.fail(nowNanos, request, ErrorKind.CLAIM_UNAVAILABLE, RETRY_AFTER_MILLIS);
			case LIMBO -> this.activeRequests.failInLimbo(nowNanos, request);
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Records the output that an attempt has delivered to the caller. Ended attempts are
	 * ignored.
	 * @param nowNanos the monotonic time
	 * @param attempt the attempt
	 * @param tokensDelivered the total number of tokens delivered for the request
	 */
	public void onProgress(long nowNanos, AttemptId attempt, int tokensDelivered) {
		final ActiveRequest request = this.activeRequests.findLive(attempt);
		if (request == null) {
			return;
		}
		final boolean first = !request.attemptHasOutput;
		if (first) {
			this.policies.queue().onFirstToken(nowNanos, request.info, nowNanos - request.attemptStartedAtNanos);
		}
		if (request.firstOutputAtNanos.isEmpty()) {
			request.firstOutputAtNanos = OptionalLong.of(nowNanos);
			this.outputPace.onFirstEvent(nowNanos, request);
		}
		request.hasRun = true;
		request.attemptHasOutput = true;
		request.load.onTokens(nowNanos, request.progressAtNanos, tokensDelivered - request.tokensDelivered, first);
		request.progressAtNanos = nowNanos;
		request.tokensDelivered = Math.max(request.tokensDelivered, tokensDelivered);
		if (!request.answerRecorded && tokensDelivered - request.resumedFromTokens > CrashPhase.STARTING_EVENTS) {
			request.answerRecorded = true;
			this.policies.quarantine().onAnswer(nowNanos, request.info.sharedPromptParts());
		}
		this.suspectTracker.onTokens(nowNanos, request);
	}

	/**
	 * Returns the rate limits that targets have stated and that this core applies.
	 * @return the limits
	 */
	public TargetLimits targetLimits() {
		return this.targetLimits;
	}

	/**
	 * Returns the availability zones that operators evacuate.
	 * @return the evacuation
	 */
	public TargetEvacuation targetEvacuation() {
		return this.deadlineAdmission.evacuation();
	}

	/**
	 * Returns the targets that have not warmed up.
	 * @return the cold targets
	 */
	public TargetColdness targetColdness() {
		return this.targetColdness;
	}

	/**
	 * Returns the instances that asked for a backoff or are shutting down.
	 * @return the backoffs
	 */
	public TargetBackoffs targetBackoffs() {
		return this.targetBackoffs;
	}

	/**
	 * Returns the crashes of targets and the requests that are suspected of causing them.
	 * @return the crashes
	 */
	public TargetCrashes targetCrashes() {
		return this.targetCrashes;
	}

	/**
	 * Returns which targets this daemon prefers and how often it left them.
	 * @return the report
	 */
	public PlacementReport placementReport() {
		return this.targets.placementReport();
	}

	/**
	 * Handles the end of an attempt. Attempts that ended before are ignored.
	 * @param nowNanos the monotonic time
	 * @param attempt the attempt
	 * @param outcome how the attempt ended
	 * @param tokensDelivered the total number of tokens that the caller has received
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onAttemptEnd(long nowNanos, AttemptId attempt, AttemptOutcome outcome,
			int tokensDelivered) {
		final ActiveRequest request = this.activeRequests.findLive(attempt);
		if (request != null) {
			this.outcomes.onAttemptEnd(nowNanos, request, outcome, tokensDelivered);
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Cancels a request whose caller has disconnected.
	 * @param nowNanos the monotonic time
	 * @param requestId the request
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onCallerDisconnected(long nowNanos, long requestId) {
		final ActiveRequest request = this.activeRequests.get(requestId);
		if (request != null) {
			this.activeRequests.fail(nowNanos, request, ErrorKind.CALLER_GONE, 0);
		}
		return dispatchReady(nowNanos);
	}

	/**
	 * Ignores the silence of targets during a pause of this daemon, which has not read
	 * what they sent meanwhile.
	 * @param nowNanos the monotonic time at its end
	 * @param pauseNanos its length
	 */
	public void onPause(long nowNanos, long pauseNanos) {
		this.monitor.onPause(nowNanos, pauseNanos);
	}

	/**
	 * Applies the passage of time to deadlines, queues, limits, backoffs and stalled
	 * streams.
	 * @param nowNanos the monotonic time
	 * @return the actions to carry out
	 */
	public List<TrafficAction> onTick(long nowNanos) {
		this.targets.onTick(nowNanos);
		this.policies.quarantine().onTick(nowNanos);
		this.monitor.onTick(nowNanos);
		this.deadlineAdmission.onTick(nowNanos);
		this.outcomes.failUnplaceable(nowNanos);
		this.drainAdmission.refuseWaiting(nowNanos);
		return dispatchReady(nowNanos);
	}

	/**
	 * Refuses new requests that do not fit into the rest of a drain; active requests run
	 * to their end.
	 * @param drain the terms, which may change during a drain
	 */
	public void onDrain(Drain drain) {
		this.drainAdmission.onDrain(drain);
	}

	/**
	 * Returns what a leaving daemon does for callers at present.
	 * @param nowNanos the monotonic time
	 * @return the report
	 */
	public DrainReport drainReport(long nowNanos) {
		return this.drainAdmission.report(nowNanos);
	}

	/**
	 * Fails all active requests, because the daemon stops.
	 * @param nowNanos the monotonic time
	 * @return the actions to carry out
	 */
	public List<TrafficAction> interruptAll(long nowNanos) {
		for (final ActiveRequest request : this.activeRequests.all()) {
			final ErrorKind kind = request.mayHaveSentBytes() ? ErrorKind.INTERRUPTED : ErrorKind.LEAVING;
			this.activeRequests.fail(nowNanos, request, kind, this.drainAdmission.retryAfterMillis(),
					FailureReason.DRAIN_ENDED);
		}
		return this.activeRequests.drainActions();
	}

	/**
	 * Returns this daemon's demand, by which its shares of the workspace limits are
	 * determined.
	 * @param nowNanos the monotonic time
	 * @return the demand, by workspace
	 */
	public Map<String, Double> demand(long nowNanos) {
		return this.policies.admission().demand(nowNanos);
	}

	/**
	 * Returns the number of requests that have been admitted and have not ended.
	 * @return the number of requests
	 */
	public int activeRequestCount() {
		return this.activeRequests.size();
	}

	/**
	 * Returns the number of requests that wait for a target, for the first time or for a
	 * redispatch.
	 * @return the number of requests
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
	 * Returns whether an attempt has not ended, so that its response is still expected.
	 * @param attempt the attempt
	 * @return whether the attempt is live
	 */
	public boolean isLive(AttemptId attempt) {
		return this.activeRequests.findLive(attempt) != null;
	}

}
