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

	private static final long RETRY_WITHOUT_CAPACITY_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final FlightBook flights;

	private final TargetBook targets;

	private final TargetChooser chooser;

	private final Resumptions resumptions = new Resumptions();

	private final Dispatcher dispatcher;

	private final Isolation isolation;

	private final SuspectWatch suspects;

	private final FlightClock clock;

	private final SupplyGuard guard;

	private final AttemptOutcomes outcomes;

	private final LimitedTargets limited;

	private final AvoidedTargets avoided;

	private final CrashedTargets crashed;

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
		this.flights = new FlightBook(policies, this.targets, this.isolation, this.resumptions);
		this.suspects = new SuspectWatch(policies.killer(), this.isolation, this.flights);
		this.chooser = new TargetChooser(this.targets, this.isolation, policies.placement());
		this.dispatcher = new Dispatcher(policies, this.flights, this.targets, this.chooser, this.isolation,
				this.resumptions);
		this.guard = new SupplyGuard(this.targets, this.flights);
		this.outcomes = new AttemptOutcomes(policies, this.flights, this.chooser, this.suspects, this.dispatcher,
				this.guard);
		this.limited = new LimitedTargets(this.targets, this.guard);
		this.avoided = new AvoidedTargets(this.targets, this.guard);
		this.crashed = new CrashedTargets(policies.killer(), this.flights);
		this.clock = new FlightClock(this.flights, this.targets, this.chooser, policies);
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
		this.outcomes.endStranded(nowNanos);
		return pump(nowNanos);
	}

	/**
	 * Takes over which daemons live and this one's shares of the limits.
	 * @param nowNanos the monotonic time
	 * @param daemons the live daemons
	 * @param shareRatios this daemon's share of each workspace's limits, by workspace
	 * @return what must be done next
	 */
	public List<TrafficAction> onShares(long nowNanos, LiveDaemons daemons, Map<String, Double> shareRatios) {
		this.policies.admission().share(nowNanos, shareRatios);
		this.targets.share(nowNanos, daemons);
		return pump(nowNanos);
	}

	/**
	 * Takes over the quarantined and suspected requests that are agreed on the log.
	 * @param nowNanos the monotonic time
	 * @param quarantined the quarantined fingerprints
	 * @param suspectTargetIds for each suspected fingerprint the target that died
	 * @return what must be done next
	 */
	public List<TrafficAction> onKillers(long nowNanos, Set<String> quarantined, Map<String, String> suspectTargetIds) {
		this.policies.killer().onLogState(nowNanos, quarantined, suspectTargetIds);
		for (final Flight flight : this.flights.all()) {
			if (flight.liveAttempt == null && quarantined.contains(flight.info.fingerprint())) {
				this.flights.end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
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
			this.flights.act(new TrafficAction.Fail(info.requestId(), refusal.get().kind(), RunState.NOT_RUN,
					refusal.get().retryAfterMillis()));
			return this.flights.drainActions();
		}
		this.flights.add(flight);
		this.policies.retry().onArrival(nowNanos, info);
		final Optional<Refusal> full = this.policies.queue().offer(nowNanos, info);
		if (full.isPresent()) {
			this.flights.end(nowNanos, flight, full.get().kind(), full.get().retryAfterMillis());
			return pump(nowNanos);
		}
		flight.queued = true;
		return pump(nowNanos);
	}

	private Optional<Refusal> refuse(long nowNanos, RequestInfo info) {
		if (this.leaving) {
			return Optional.of(new Refusal(ErrorKind.LEAVING, FlightBook.LEAST_RETRY_MILLIS));
		}
		if (this.policies.killer().isQuarantined(info.fingerprint())) {
			return Optional.of(new Refusal(ErrorKind.QUARANTINED, 0));
		}
		if (!this.targets.isDeclared(info)) {
			return Optional.of(new Refusal(ErrorKind.NO_CAPACITY, RETRY_WITHOUT_CAPACITY_MILLIS));
		}
		return this.guard.refuse(nowNanos, info).or(() -> this.policies.admission().admit(nowNanos, info));
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
			this.flights.giveBack(requestId, verdict, claimOffset);
			return this.flights.drainActions();
		}
		flight.claiming = false;
		switch (verdict) {
			case GRANTED -> {
				flight.claimOffset = claimOffset;
				this.dispatcher.startOrWait(nowNanos, flight);
			}
			case SETTLED -> {
				this.flights.forget(nowNanos, flight);
				this.flights.act(new TrafficAction.Replay(requestId, flight.info));
			}
			case IN_PROGRESS ->
				this.flights.end(nowNanos, flight, ErrorKind.KEY_IN_PROGRESS, RETRY_WITHOUT_CAPACITY_MILLIS);
			case UNKNOWN -> this.flights.end(nowNanos, flight, ErrorKind.OUTCOME_UNKNOWN, 0);
			case REUSED -> this.flights.end(nowNanos, flight, ErrorKind.KEY_REUSED, 0);
			case EXPIRED -> this.flights.end(nowNanos, flight, ErrorKind.KEY_EXPIRED, 0);
			case UNAVAILABLE ->
				this.flights.end(nowNanos, flight, ErrorKind.CLAIM_UNAVAILABLE, RETRY_WITHOUT_CAPACITY_MILLIS);
			case LIMBO -> this.flights.endUnknown(nowNanos, flight);
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
		final Flight flight = this.flights.live(attempt);
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
		this.suspects.onTokens(flight);
	}

	/**
	 * Returns the limits that instances name, to which this core keeps.
	 * @return the limits
	 */
	public LimitedTargets limits() {
		return this.limited;
	}

	/**
	 * Returns the instances that want no requests, from which this core keeps away.
	 * @return the instances
	 */
	public AvoidedTargets avoided() {
		return this.avoided;
	}

	/**
	 * Returns what is known of requests that crash targets.
	 * @return the targets that crashed, and under what
	 */
	public CrashedTargets crashed() {
		return this.crashed;
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
		final Flight flight = this.flights.live(attempt);
		if (flight != null) {
			this.outcomes.onEnd(nowNanos, flight, how, tokensDelivered);
		}
		return pump(nowNanos);
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
			this.flights.end(nowNanos, flight, ErrorKind.CALLER_GONE, 0);
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
		this.clock.onTick(nowNanos);
		this.guard.onTick(nowNanos);
		this.outcomes.endStranded(nowNanos);
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
		this.dispatcher.pump(nowNanos);
		return this.flights.drainActions();
	}

	/**
	 * Returns whether an attempt is still waited for.
	 * @param attempt the attempt
	 * @return whether its answer counts
	 */
	public boolean isLive(AttemptId attempt) {
		return this.flights.live(attempt) != null;
	}

}
