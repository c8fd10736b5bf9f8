package org.pistachioline.daemon.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.backoff.BackoffReport;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.limit.LimitReport;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.claims.Claims;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;

/**
 * Runs the decision core on one thread and carries out what it decides.
 */
public final class TrafficDuty implements Lifecycle, DutyHandler<TrafficMessage>, AttemptListener {

	private static final int RING_CAPACITY = 65_536;

	/**
	 * Time limits are noticed half of this late on average. Each tick wakes a thread,
	 * whether there is anything to do or not.
	 */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private static final long QUARANTINE_REFRESH_NANOS = Duration.ofSeconds(1).toNanos();

	private final TrafficCore core;

	private final LimitShareUpdater limitShares;

	private final TraceRecorder recorder;

	private final ActionRunner runner;

	private final Duty<TrafficMessage> duty;

	private FleetState onFleetState = FleetState.EMPTY;

	private long quarantinesRefreshedAtNanos;

	private final TargetMonitor targetMonitor;

	private volatile int activeRequestCount;

	private volatile int queuedRequestCount;

	private volatile long droppedResponseCount;

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param core what decides
	 * @param claims makes claims
	 * @param shares keeps this daemon's shares of the limits
	 * @param killers shares which requests groups died under
	 * @param recorder keeps recent arrivals, where that is set
	 */
	public TrafficDuty(ActorSystem<?> system, TrafficCore core, Claims claims, LimitShareUpdater shares,
			SuspectReporter killers, TraceRecorder recorder) {
		this.recorder = recorder;
		this.limitShares = shares;
		this.core = core;
		this.targetMonitor = new TargetMonitor(core, this::offer);
		this.duty = new Duty<>(system, "traffic", RING_CAPACITY, TICK_INTERVAL, this);
		this.runner = new ActionRunner(claims, killers, recorder, this, this.duty::put);
	}

	/**
	 * Sets what is told of targets that stand still; called before the start.
	 * @param receiver takes the target's id; it must not block
	 */
	public void setStallListener(Consumer<String> receiver) {
		this.runner.setStallListener(receiver);
	}

	private boolean offer(TrafficMessage message) {
		return this.duty.offer(message);
	}

	@Override
	public void start() {
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
	 * Takes a request; where the ring is full it is refused at once, as not run.
	 * @param exchange the request
	 */
	public void submit(Exchange exchange) {
		if (!this.duty.offer(new TrafficMessage.Arrived(exchange))) {
			exchange.fail(ErrorKind.OVERLOADED, RunState.NOT_RUN, 1_000);
		}
	}

	/**
	 * Takes over a configuration.
	 * @param manifest the manifest in force
	 */
	public void onManifest(Manifest manifest) {
		this.duty.put(new TrafficMessage.Configured(manifest));
	}

	/**
	 * Takes over the targets; where the ring is full the next view does.
	 * @param targets every target
	 */
	public void onTargets(List<TargetView> targets) {
		this.duty.offer(new TrafficMessage.Targets(targets));
	}

	/**
	 * Takes over a peer's demand; where the ring is full the next beat brings it.
	 * @param daemonId the peer
	 * @param leaving whether it is about to stop
	 * @param demand its requests a second, by workspace
	 */
	public void onPeerDemand(String daemonId, boolean leaving, Map<String, Double> demand) {
		this.duty.offer(new TrafficMessage.PeerDemand(daemonId, leaving, demand));
	}

	/**
	 * Takes over the agreed state of the fleet, for its quarantined and suspected
	 * requests.
	 * @param state the state; where the ring is full the next one does
	 */
	public void onFleetState(FleetState state) {
		this.duty.offer(new TrafficMessage.Fleet(state));
	}

	/**
	 * Takes what an engine told of its prefix cache; where the ring is full the hint is
	 * lost, which costs a prefill at most.
	 * @param events what it told
	 */
	public void onCacheEvents(CacheEvents events) {
		this.duty.offer(new TrafficMessage.Cached(events));
	}

	/**
	 * Takes word that a caller went away.
	 * @param requestId the request
	 */
	public void onCallerDisconnected(long requestId) {
		this.duty.put(new TrafficMessage.CallerGone(requestId));
	}

	/**
	 * Takes what a target's answer said of its limit; where the ring is full the next
	 * answer says it again.
	 * @param targetId the target
	 * @param sentAtNanos when the answer's request was sent, by the monotonic clock
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 */
	public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
		final String instanceId = TargetView.instanceId(targetId);
		if (this.targetMonitor.limits().mayChangeLimit(instanceId, requestsPerSecond)) {
			this.duty.offer(new TrafficMessage.LimitHeard(instanceId, sentAtNanos, requestsPerSecond));
		}
	}

	/**
	 * Takes word that a target wants no requests of this daemon for a while.
	 * @param instanceId the target's instance
	 * @param forMillis for how long
	 */
	public void onBackoff(String instanceId, long forMillis) {
		this.duty.put(new TrafficMessage.BackoffHeard(instanceId, System.nanoTime(),
				TimeUnit.MILLISECONDS.toNanos(forMillis)));
	}

	/**
	 * Takes word that a target leaves.
	 * @param instanceId the target's instance
	 */
	public void onLeaving(String instanceId) {
		this.duty.put(new TrafficMessage.LeavingHeard(instanceId));
	}

	/**
	 * Returns the targets that want no requests now.
	 * @return the targets, and what this daemon sent there all the same
	 */
	public List<BackoffReport> backoffReports() {
		return this.targetMonitor.backoffs().reports();
	}

	/**
	 * Takes what another daemon told of targets' limits; where the ring is full the next
	 * beat brings it.
	 * @param stated what the targets said
	 */
	public void onPeerLimits(List<AdvertisedLimit> stated) {
		this.duty.offer(new TrafficMessage.LimitsTold(stated));
	}

	/**
	 * Returns what other daemons are to be told of targets' limits.
	 * @return what the targets said last, the newest first
	 */
	public List<AdvertisedLimit> latestLimits() {
		return this.targetMonitor.limits().latestLimits();
	}

	/**
	 * Returns the limits that targets name now.
	 * @return the limits, and what this daemon sent there
	 */
	public List<LimitReport> limitReports() {
		return this.targetMonitor.limits().reports();
	}

	/**
	 * Returns what is known of targets that died, and of the requests under which they
	 * did.
	 * @return the watch, which any thread may tell
	 */
	public CrashMonitor crashMonitor() {
		return this.targetMonitor.crashes();
	}

	/**
	 * Stops taking new requests.
	 */
	public void stopAdmission() {
		this.duty.put(new TrafficMessage.Leave());
	}

	/**
	 * Returns how many requests have not ended.
	 * @return the number of requests
	 */
	public int activeRequestCount() {
		return this.activeRequestCount + this.duty.ring().size();
	}

	/**
	 * Returns how many answers did not match their attempt or came after it had ended.
	 * @return the number of dropped answers
	 */
	public long droppedResponseCount() {
		return this.droppedResponseCount;
	}

	/**
	 * Returns how many requests wait for a target.
	 * @return the number of requests
	 */
	public int queuedRequestCount() {
		return this.queuedRequestCount;
	}

	@Override
	public void onProgress(AttemptId attempt, int tokensDelivered) {
		this.duty.put(new TrafficMessage.Progressed(attempt, tokensDelivered));
	}

	@Override
	public void onEnd(AttemptId attempt, AttemptOutcome how, int tokensDelivered) {
		this.duty.put(new TrafficMessage.Ended(attempt, how, tokensDelivered));
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		execute(this.core.onTick(nowNanos));
		execute(this.limitShares.update(nowNanos, this.core));
		this.targetMonitor.refresh(nowNanos);
		// Quarantines expire by the wall clock, without a record.
		if (nowNanos - this.quarantinesRefreshedAtNanos >= QUARANTINE_REFRESH_NANOS) {
			refreshQuarantines(nowNanos);
		}
	}

	private void refreshQuarantines(long nowNanos) {
		final long nowMillis = System.currentTimeMillis();
		this.quarantinesRefreshedAtNanos = nowNanos;
		execute(this.core.onQuarantines(nowNanos, LogSuspectReporter.quarantined(this.onFleetState, nowMillis),
				LogSuspectReporter.suspected(this.onFleetState, nowMillis)));
	}

	@Override
	public void onMessage(TrafficMessage message) {
		final long nowNanos = System.nanoTime();
		if (message instanceof TrafficMessage.Arrived arrived) {
			this.runner.add(arrived.exchange());
			this.recorder.onArrival(nowNanos, arrived.exchange().info());
			execute(this.core.onRequest(nowNanos, arrived.exchange().info()));
		}
		else if (message instanceof TrafficMessage.Progressed progressed) {
			this.recorder.onTokens(progressed.attempt().requestId(), progressed.tokensDelivered());
			this.core.onProgress(nowNanos, progressed.attempt(), progressed.tokensDelivered());
		}
		else if (message instanceof TrafficMessage.Ended ended) {
			this.recorder.onTokens(ended.attempt().requestId(), ended.tokensDelivered());
			handleAttemptEnd(nowNanos, ended);
		}
		else if (message instanceof TrafficMessage.PeerDemand peer) {
			this.limitShares.onPeerDemand(nowNanos, peer);
		}
		else if (message instanceof TrafficMessage.Claimed claimed) {
			handleClaimResult(nowNanos, claimed);
		}
		else if (message instanceof TrafficMessage.CallerGone gone) {
			execute(this.core.onCallerDisconnected(nowNanos, gone.requestId()));
		}
		else if (message instanceof TrafficMessage.Configured configured) {
			execute(this.core.onManifest(nowNanos, configured.manifest()));
		}
		else if (message instanceof TrafficMessage.Targets targets) {
			execute(this.core.onTargets(nowNanos, targets.targets()));
		}
		else if (message instanceof TrafficMessage.Fleet agreed) {
			final boolean changed = agreed.state().quarantines() != this.onFleetState.quarantines()
					|| agreed.state().suspicions() != this.onFleetState.suspicions();
			this.onFleetState = agreed.state();
			if (changed) {
				refreshQuarantines(nowNanos);
			}
		}
		else if (message instanceof TrafficMessage.Cached cached) {
			this.core.onCacheEvents(nowNanos, cached.events());
		}
		else if (message instanceof TrafficMessage.Leave) {
			this.core.stopAdmission();
		}
		else if (this.targetMonitor.handle(nowNanos, message)) {
			execute(this.core.onTick(nowNanos));
		}
	}

	private void handleAttemptEnd(long nowNanos, TrafficMessage.Ended ended) {
		final boolean answered = ended.outcome() == AttemptOutcome.COMPLETE
				|| ended.outcome() == AttemptOutcome.MISMATCHED;
		if (ended.outcome() == AttemptOutcome.MISMATCHED || (answered && !this.core.isLive(ended.attempt()))) {
			this.droppedResponseCount++;
			Events.log(EventId.RESPONSE_DROPPED, "attempt", ended.attempt().wireForm(), "end", ended.outcome());
		}
		else if (ended.outcome() != AttemptOutcome.COMPLETE && ended.outcome() != AttemptOutcome.CANCELLED
				&& ended.outcome() != AttemptOutcome.WITHHELD && this.core.isLive(ended.attempt())) {
			Events.log(EventId.ATTEMPT_FAILED, "attempt", ended.attempt().wireForm(), "end", ended.outcome());
		}
		execute(this.core.onAttemptEnd(nowNanos, ended.attempt(), ended.outcome(), ended.tokensDelivered()));
	}

	private void handleClaimResult(long nowNanos, TrafficMessage.Claimed claimed) {
		this.runner.onClaimResult(claimed);
		execute(this.core.onClaim(nowNanos, claimed.requestId(), claimed.result().verdict(),
				claimed.result().claimOffset()));
		this.runner.removeOutcome(claimed.requestId());
	}

	private void execute(List<TrafficAction> actions) {
		this.runner.run(actions);
		this.activeRequestCount = this.core.activeRequestCount();
		this.queuedRequestCount = this.core.queuedRequestCount();
	}

	/**
	 * Returns how many requests ended with a failure, for metrics and operators.
	 * @return the counts
	 */
	public FailureCounts failureCounts() {
		return this.runner.failures();
	}

	/**
	 * Stores the outcome of a claimed request before its answer is given.
	 * @param exchange the request
	 * @param status the target's HTTP status
	 * @param contentType the answer's content type
	 * @param body the answer's body
	 */
	void settle(Exchange exchange, int status, String contentType, String body) {
		this.runner.settle(exchange, status, contentType, body);
	}

}
