package org.pistachioline.daemon.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.backoff.BackoffReport;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.limit.LimitReport;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.placement.PlacementReport;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.Drain;
import org.pistachioline.core.traffic.DrainReport;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.claims.Claims;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.Ring;

/**
 * Runs the traffic core on one thread: passes it what other threads report and request,
 * and exposes its state to them.
 */
public final class TrafficDuty implements Lifecycle, AttemptListener {

	private static final int RING_CAPACITY = 65_536;

	/**
	 * Interval at which deadlines are checked; on average they are noticed half an
	 * interval late. Each tick wakes a thread even if there is nothing to do, which rules
	 * out much shorter ones.
	 */
	static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private final TargetMonitor targetMonitor;

	private final ActionRunner runner;

	private final TrafficMessageHandler handler;

	private final Duty<TrafficMessage> duty;

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param core makes the decisions
	 * @param claims claims idempotency keys
	 * @param limitShares recalculates this daemon's shares of the workspace limits
	 * @param suspectReporter receives the requests that were running when a group crashed
	 * @param recorder records recent arrivals, if that is enabled
	 */
	public TrafficDuty(ActorSystem<?> system, TrafficCore core, Claims claims, LimitShareUpdater limitShares,
			SuspectReporter suspectReporter, TraceRecorder recorder) {
		this.targetMonitor = new TargetMonitor(core, this::offer);
		this.runner = new ActionRunner(claims, suspectReporter, recorder, this, this::put);
		this.handler = new TrafficMessageHandler(core, limitShares, recorder, this.runner, this.targetMonitor);
		this.duty = new Duty<>(system, "traffic", RING_CAPACITY, TICK_INTERVAL, this.handler);
	}

	/**
	 * Sets the receiver of stalled targets. Must be called before the start.
	 * @param receiver receives the target's id; must not block
	 */
	public void setStallListener(Consumer<String> receiver) {
		this.runner.setStallListener(receiver);
	}

	/**
	 * Sets the listener for ticks. Must be called before the start.
	 * @param listener receives the monotonic time on the duty's thread; must not block
	 */
	void setTickListener(LongConsumer listener) {
		this.handler.setTickListener(listener);
	}

	/**
	 * Runs a task on the duty's thread. It is dropped if the ring is full.
	 * @param task receives the monotonic time; must not block
	 */
	void offerTask(LongConsumer task) {
		this.duty.offer(new TrafficMessage.TaskSubmitted(task));
	}

	private boolean offer(TrafficMessage message) {
		return this.duty.offer(message);
	}

	private void put(TrafficMessage message) {
		this.duty.put(message);
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
	 * Submits a request. If the ring is full, the request is refused at once as not run.
	 * @param exchange the request
	 */
	public void submit(Exchange exchange) {
		if (!this.duty.offer(new TrafficMessage.RequestArrived(exchange))) {
			exchange.fail(ErrorKind.OVERLOADED, RunState.NOT_RUN, 1_000);
		}
	}

	/**
	 * Applies a configuration.
	 * @param manifest the manifest in force
	 */
	public void onManifest(Manifest manifest) {
		this.duty.put(new TrafficMessage.ManifestChanged(manifest));
	}

	/**
	 * Replaces the known targets. The update is dropped if the ring is full; the next one
	 * contains all targets again.
	 * @param targets every target
	 */
	public void onTargets(List<TargetView> targets) {
		this.duty.offer(new TrafficMessage.TargetsChanged(targets));
	}

	/**
	 * Records the demand of a peer. It is dropped if the ring is full; the next heartbeat
	 * repeats it.
	 * @param daemonId the peer
	 * @param leaving whether the peer is shutting down
	 * @param demand its requests per second, by workspace
	 */
	public void onPeerDemand(String daemonId, boolean leaving, Map<String, Double> demand) {
		this.duty.offer(new TrafficMessage.PeerDemandReceived(daemonId, leaving, demand));
	}

	/**
	 * Applies the quarantined and suspected requests of the replicated fleet state. The
	 * update is dropped if the ring is full; the next one contains the whole state again.
	 * @param state the state
	 */
	public void onFleetState(FleetState state) {
		this.duty.offer(new TrafficMessage.FleetStateChanged(state));
	}

	/**
	 * Records changes to the contents of an engine's prefix cache. They are dropped if
	 * the ring is full, which costs a prefill at most.
	 * @param events the changes
	 */
	public void onCacheEvents(CacheEvents events) {
		this.duty.offer(new TrafficMessage.CacheChanged(events));
	}

	/**
	 * Cancels a request whose caller has disconnected.
	 * @param requestId the request
	 */
	public void onCallerDisconnected(long requestId) {
		this.duty.put(new TrafficMessage.CallerDisconnected(requestId));
	}

	/**
	 * Records the rate limit that a target's response states. It is dropped if the ring
	 * is full; the next response states it again.
	 * @param targetId the target
	 * @param sentAtNanos when the request of this response was sent, by the monotonic
	 * clock
	 * @param requestsPerSecond the stated limit; empty if the response states none
	 */
	public void onLimit(String targetId, long sentAtNanos, OptionalDouble requestsPerSecond) {
		final String instanceId = TargetView.instanceId(targetId);
		if (this.targetMonitor.limits().mayChangeLimit(instanceId, requestsPerSecond)) {
			this.duty.offer(new TrafficMessage.LimitReceived(instanceId, sentAtNanos, requestsPerSecond));
		}
	}

	/**
	 * Records that an instance asked for no requests from this daemon for some time.
	 * @param instanceId the instance
	 * @param forMillis the length of the backoff
	 */
	public void onBackoff(String instanceId, long forMillis) {
		this.duty.put(new TrafficMessage.BackoffReceived(instanceId, System.nanoTime(),
				TimeUnit.MILLISECONDS.toNanos(forMillis)));
	}

	/**
	 * Records that an instance is shutting down.
	 * @param instanceId the instance
	 */
	public void onLeaving(String instanceId) {
		this.duty.put(new TrafficMessage.LeavingReceived(instanceId));
	}

	/**
	 * Returns the instances that accept no requests from this daemon at present.
	 * @return the instances, and the number of attempts that this daemon started there
	 * nevertheless
	 */
	public List<BackoffReport> backoffReports() {
		return this.targetMonitor.backoffs().reports();
	}

	/**
	 * Merges the limits that another daemon learned from targets. They are dropped if the
	 * ring is full; the next heartbeat repeats them.
	 * @param limits the limits that the targets stated
	 */
	public void onPeerLimits(List<AdvertisedLimit> limits) {
		this.duty.offer(new TrafficMessage.PeerLimitsReceived(limits));
	}

	/**
	 * Returns the limits to be sent to other daemons.
	 * @return the last statement of each instance, the newest first
	 */
	public List<AdvertisedLimit> latestLimits() {
		return this.targetMonitor.limits().latestLimits();
	}

	/**
	 * Returns the limits in force that targets have stated.
	 * @return the limits, and the number of recent attempts of this daemon under each
	 */
	public List<LimitReport> limitReports() {
		return this.targetMonitor.limits().reports();
	}

	/**
	 * Returns which targets this daemon prefers and how often it left them.
	 * @return the report
	 */
	public PlacementReport placementReport() {
		return this.targetMonitor.placement();
	}

	/**
	 * Returns the monitor of crashed targets and of the requests suspected of crashing
	 * them.
	 * @return the monitor, to which any thread may report
	 */
	public CrashMonitor crashMonitor() {
		return this.targetMonitor.crashes();
	}

	/**
	 * Applies how cold instances behave.
	 * @param byService the declarations, by the name of the service
	 */
	public void onColdStarts(Map<String, ColdStart> byService) {
		this.duty.put(new TrafficMessage.ColdStartsChanged(byService));
	}

	/**
	 * Applies the availability zones that operators evacuate.
	 * @param availabilityZones the zones
	 */
	public void onEvacuation(Set<String> availabilityZones) {
		this.duty.put(new TrafficMessage.ZonesEvacuated(availabilityZones));
	}

	/**
	 * Returns the monitor of targets that have not warmed up.
	 * @return the monitor, to which any thread may report
	 */
	public ColdMonitor coldMonitor() {
		return this.targetMonitor.cold();
	}

	/**
	 * Refuses new requests that do not fit into the rest of a drain; active requests run
	 * to their end.
	 * @param drain the terms, which may change during a drain
	 */
	public void drain(Drain drain) {
		this.duty.put(new TrafficMessage.DrainChanged(drain));
	}

	/**
	 * Returns what a leaving daemon did for callers as of the last tick.
	 * @return the report
	 */
	public DrainReport drainReport() {
		return this.handler.drainReport();
	}

	/**
	 * Fails all active requests, because the daemon stops.
	 */
	public void interruptAll() {
		this.duty.put(new TrafficMessage.AllInterrupted());
	}

	/**
	 * Returns the number of requests that have not ended, with the messages in the ring
	 * counted as requests.
	 * @return the number of requests
	 */
	public int activeRequestCount() {
		return this.handler.activeRequestCount() + this.duty.ring().size();
	}

	/**
	 * Returns the number of responses that did not match their attempt or arrived after
	 * it had ended.
	 * @return the number of dropped responses
	 */
	public long droppedResponseCount() {
		return this.handler.droppedResponseCount();
	}

	/**
	 * Returns the number of requests that wait for a target.
	 * @return the number of requests
	 */
	public int queuedRequestCount() {
		return this.handler.queuedRequestCount();
	}

	@Override
	public void onProgress(AttemptId attempt, int tokensDelivered) {
		this.duty.put(new TrafficMessage.AttemptProgressed(attempt, tokensDelivered));
	}

	@Override
	public void onEnd(AttemptId attempt, AttemptOutcome outcome, int tokensDelivered) {
		this.duty.put(new TrafficMessage.AttemptEnded(attempt, outcome, tokensDelivered));
	}

	/**
	 * Returns the numbers of failed requests, for metrics and operators.
	 * @return the counts
	 */
	public FailureCounts failureCounts() {
		return this.runner.failures();
	}

	/**
	 * Stores the outcome of a claimed request. Called before its response is sent.
	 * @param exchange the request
	 * @param status the target's HTTP status
	 * @param contentType the response's content type
	 * @param body the response's body
	 */
	void settle(Exchange exchange, int status, String contentType, String body) {
		this.runner.settle(exchange, status, contentType, body);
	}

}
