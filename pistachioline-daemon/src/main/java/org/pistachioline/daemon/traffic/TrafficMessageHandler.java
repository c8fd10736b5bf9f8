package org.pistachioline.daemon.traffic;

import java.util.List;
import java.util.function.LongConsumer;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.DrainReport;
import org.pistachioline.core.traffic.PauseDetector;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.event.Events;

/**
 * Passes each message and tick of the traffic duty to the traffic core and executes the
 * actions that it returns. It is confined to the duty's thread, except for the counts,
 * which any thread may read.
 */
final class TrafficMessageHandler implements DutyHandler<TrafficMessage> {

	private final TrafficCore core;

	private final LimitShareUpdater limitShares;

	private final QuarantineUpdater quarantines = new QuarantineUpdater();

	private final TraceRecorder recorder;

	private final ActionRunner runner;

	private final TargetMonitor targetMonitor;

	private final PauseDetector pauses = new PauseDetector(TrafficDuty.TICK_INTERVAL.toNanos());

	private LongConsumer tickListener = (nowNanos) -> {
	};

	private volatile int activeRequestCount;

	private volatile int queuedRequestCount;

	private volatile long droppedResponseCount;

	private volatile DrainReport drainReport = DrainReport.EMPTY;

	/**
	 * Creates a handler.
	 * @param core makes the decisions
	 * @param limitShares recalculates this daemon's shares of the workspace limits
	 * @param recorder records recent arrivals, if that is enabled
	 * @param runner executes the actions
	 * @param targetMonitor handles the messages about the state of targets
	 */
	TrafficMessageHandler(TrafficCore core, LimitShareUpdater limitShares, TraceRecorder recorder, ActionRunner runner,
			TargetMonitor targetMonitor) {
		this.core = core;
		this.limitShares = limitShares;
		this.recorder = recorder;
		this.runner = runner;
		this.targetMonitor = targetMonitor;
	}

	/**
	 * Sets the listener for ticks. Must be called before the duty's start.
	 * @param listener receives the monotonic time; must not block
	 */
	void setTickListener(LongConsumer listener) {
		this.tickListener = listener;
	}

	int activeRequestCount() {
		return this.activeRequestCount;
	}

	int queuedRequestCount() {
		return this.queuedRequestCount;
	}

	long droppedResponseCount() {
		return this.droppedResponseCount;
	}

	DrainReport drainReport() {
		return this.drainReport;
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		this.core.onPause(nowNanos, this.pauses.onTick(nowNanos));
		execute(this.core.onTick(nowNanos));
		execute(this.limitShares.update(nowNanos, this.core));
		this.targetMonitor.refresh(nowNanos);
		this.drainReport = this.core.drainReport(nowNanos);
		this.tickListener.accept(nowNanos);
		if (this.quarantines.isDue(nowNanos)) {
			execute(this.quarantines.update(nowNanos, this.core));
		}
	}

	@Override
	public void onMessage(TrafficMessage message) {
		final long nowNanos = System.nanoTime();
		if (message instanceof TrafficMessage.RequestArrived arrived) {
			this.runner.add(arrived.exchange());
			this.recorder.onArrival(nowNanos, arrived.exchange().info());
			execute(this.core.onRequest(nowNanos, arrived.exchange().info()));
		}
		else if (message instanceof TrafficMessage.AttemptProgressed progressed) {
			this.recorder.onTokens(progressed.attempt().requestId(), progressed.tokensDelivered());
			this.core.onProgress(nowNanos, progressed.attempt(), progressed.tokensDelivered());
		}
		else if (message instanceof TrafficMessage.AttemptEnded ended) {
			this.recorder.onTokens(ended.attempt().requestId(), ended.tokensDelivered());
			handleAttemptEnd(nowNanos, ended);
		}
		else if (message instanceof TrafficMessage.PeerDemandReceived peer) {
			this.limitShares.onPeerDemand(nowNanos, peer);
		}
		else if (message instanceof TrafficMessage.ClaimDecided decided) {
			handleClaimResult(nowNanos, decided);
		}
		else if (message instanceof TrafficMessage.CallerDisconnected disconnected) {
			execute(this.core.onCallerDisconnected(nowNanos, disconnected.requestId()));
		}
		else if (message instanceof TrafficMessage.ManifestChanged manifestChange) {
			execute(this.core.onManifest(nowNanos, manifestChange.manifest()));
		}
		else if (message instanceof TrafficMessage.TargetsChanged targets) {
			execute(this.core.onTargets(nowNanos, targets.targets()));
		}
		else if (message instanceof TrafficMessage.FleetStateChanged fleetChange) {
			if (this.quarantines.onFleetState(fleetChange.state())) {
				execute(this.quarantines.update(nowNanos, this.core));
			}
		}
		else if (message instanceof TrafficMessage.CacheChanged cached) {
			this.core.onCacheEvents(nowNanos, cached.events());
		}
		else if (message instanceof TrafficMessage.TaskSubmitted submitted) {
			submitted.task().accept(nowNanos);
		}
		else if (message instanceof TrafficMessage.DrainChanged drained) {
			this.core.onDrain(drained.drain());
		}
		else if (message instanceof TrafficMessage.AllInterrupted) {
			execute(this.core.interruptAll(nowNanos));
		}
		else if (this.targetMonitor.handle(nowNanos, message)) {
			execute(this.core.onTick(nowNanos));
		}
	}

	private void handleAttemptEnd(long nowNanos, TrafficMessage.AttemptEnded ended) {
		final boolean hasResponse = ended.outcome() == AttemptOutcome.COMPLETE
				|| ended.outcome() == AttemptOutcome.MISMATCHED;
		if (ended.outcome() == AttemptOutcome.MISMATCHED || (hasResponse && !this.core.isLive(ended.attempt()))) {
			this.droppedResponseCount++;
			Events.log(EventId.RESPONSE_DROPPED, "attempt", ended.attempt().wireForm(), "end", ended.outcome());
		}
		else if (ended.outcome() != AttemptOutcome.COMPLETE && ended.outcome() != AttemptOutcome.CANCELLED
				&& ended.outcome() != AttemptOutcome.WITHHELD && this.core.isLive(ended.attempt())) {
			Events.log(EventId.ATTEMPT_FAILED, "attempt", ended.attempt().wireForm(), "end", ended.outcome());
		}
		execute(this.core.onAttemptEnd(nowNanos, ended.attempt(), ended.outcome(), ended.tokensDelivered()));
	}

	private void handleClaimResult(long nowNanos, TrafficMessage.ClaimDecided decided) {
		this.runner.onClaimResult(decided);
		execute(this.core.onClaim(nowNanos, decided.requestId(), decided.result().verdict(),
				decided.result().claimOffset()));
		this.runner.removeOutcome(decided.requestId());
	}

	private void execute(List<TrafficAction> actions) {
		this.runner.run(actions);
		this.activeRequestCount = this.core.activeRequestCount();
		this.queuedRequestCount = this.core.queuedRequestCount();
	}

}
