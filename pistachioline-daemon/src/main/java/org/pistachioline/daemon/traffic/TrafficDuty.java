package org.pistachioline.daemon.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.claims.ClaimEntry;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptEnd;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.claims.ClaimService;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.event.Events;

/**
 * Runs the decision core on one thread and carries out what it decides.
 */
public final class TrafficDuty implements Lifecycle, DutyHandler<TrafficMessage>, AttemptListener {

	private static final int RING_CAPACITY = 65_536;

	private static final Duration TICK = Duration.ofMillis(10);

	private final TrafficCore core;

	private final ClaimService claims;

	private final ShareKeeper shares;

	private final Duty<TrafficMessage> duty;

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final Map<Long, Long> claimOffsets = new HashMap<>();

	private volatile int held;

	private volatile int queued;

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param core what decides
	 * @param claims makes claims
	 * @param shares keeps this daemon's shares of the limits
	 */
	public TrafficDuty(ActorSystem<?> system, TrafficCore core, ClaimService claims, ShareKeeper shares) {
		this.shares = shares;
		this.core = core;
		this.claims = claims;
		this.duty = new Duty<>(system, "traffic", RING_CAPACITY, TICK, this);
	}

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	/**
	 * Takes a request; where the ring is full it is refused at once, as not run.
	 * @param exchange the request
	 */
	public void arrive(Exchange exchange) {
		if (!this.duty.offer(new TrafficMessage.Arrived(exchange))) {
			exchange.fail(ErrorKind.OVERLOADED, RunState.NOT_RUN, 1_000);
		}
	}

	/**
	 * Takes over a configuration.
	 * @param manifest the manifest in force
	 */
	public void configure(Manifest manifest) {
		this.duty.put(new TrafficMessage.Configured(manifest));
	}

	/**
	 * Takes over the targets; where the ring is full the next view does.
	 * @param targets every target
	 */
	public void targets(List<TargetView> targets) {
		this.duty.offer(new TrafficMessage.Targets(targets));
	}

	/**
	 * Takes over a peer's demand; where the ring is full the next beat brings it.
	 * @param daemonId the peer
	 * @param leaving whether it is about to stop
	 * @param demand its requests a second, by workspace
	 */
	public void peerDemand(String daemonId, boolean leaving, Map<String, Double> demand) {
		this.duty.offer(new TrafficMessage.PeerDemand(daemonId, leaving, demand));
	}

	/**
	 * Takes word that a caller went away.
	 * @param requestId the request
	 */
	public void callerGone(long requestId) {
		this.duty.put(new TrafficMessage.CallerGone(requestId));
	}

	/**
	 * Stops taking new requests.
	 */
	public void leave() {
		this.duty.put(new TrafficMessage.Leave());
	}

	/**
	 * Returns how many requests have not ended.
	 * @return the number of requests
	 */
	public int held() {
		return this.held + this.duty.ring().size();
	}

	/**
	 * Returns how many requests wait for a target.
	 * @return the number of requests
	 */
	public int queued() {
		return this.queued;
	}

	@Override
	public void onProgress(AttemptId attempt, int tokensDelivered) {
		this.duty.put(new TrafficMessage.Progressed(attempt, tokensDelivered));
	}

	@Override
	public void onEnd(AttemptId attempt, AttemptEnd how, int tokensDelivered) {
		this.duty.put(new TrafficMessage.Ended(attempt, how, tokensDelivered));
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		carryOut(this.core.onTick(nowNanos));
		carryOut(this.shares.renew(nowNanos, this.core));
	}

	@Override
	public void onMessage(TrafficMessage message) {
		final long nowNanos = System.nanoTime();
		if (message instanceof TrafficMessage.Arrived arrived) {
			final Exchange exchange = arrived.exchange();
			this.exchanges.put(exchange.info().requestId(), exchange);
			carryOut(this.core.onRequest(nowNanos, exchange.info()));
		}
		else if (message instanceof TrafficMessage.Progressed progressed) {
			this.core.onProgress(nowNanos, progressed.attempt(), progressed.tokensDelivered());
		}
		else if (message instanceof TrafficMessage.Ended ended) {
			carryOut(this.core.onAttemptEnd(nowNanos, ended.attempt(), ended.how(), ended.tokensDelivered()));
		}
		else if (message instanceof TrafficMessage.PeerDemand peer) {
			this.shares.hear(nowNanos, peer);
		}
		else if (message instanceof TrafficMessage.Claimed claimed) {
			onClaimed(nowNanos, claimed);
		}
		else if (message instanceof TrafficMessage.CallerGone gone) {
			carryOut(this.core.onCallerGone(nowNanos, gone.requestId()));
		}
		else if (message instanceof TrafficMessage.Configured configured) {
			carryOut(this.core.onManifest(nowNanos, configured.manifest()));
		}
		else if (message instanceof TrafficMessage.Targets targets) {
			carryOut(this.core.onTargets(nowNanos, targets.targets()));
		}
		else if (message instanceof TrafficMessage.Leave) {
			this.core.leave();
		}
	}

	private void onClaimed(long nowNanos, TrafficMessage.Claimed claimed) {
		if (claimed.result().claimOffset() >= 0) {
			this.claimOffsets.put(claimed.requestId(), claimed.result().claimOffset());
		}
		carryOut(this.core.onClaim(nowNanos, claimed.requestId(), claimed.result().verdict(),
				claimed.result().claimOffset()));
	}

	private void carryOut(List<TrafficAction> actions) {
		actions.forEach(this::carryOut);
		this.held = this.core.held();
		this.queued = this.core.queued();
	}

	private void carryOut(TrafficAction action) {
		final Exchange exchange = this.exchanges.get(action.requestId());
		if (exchange == null) {
			return;
		}
		if (action instanceof TrafficAction.Start start) {
			exchange.start(start, this);
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			exchange.cancel(cancel.attempt());
		}
		else if (action instanceof TrafficAction.Finish finish) {
			exchange.finish();
			forget(finish.requestId());
		}
		else if (action instanceof TrafficAction.Fail fail) {
			settleUnknown(exchange, fail);
			forget(fail.requestId());
			exchange.fail(fail.kind(), fail.runState(), fail.retryAfterMillis());
		}
		else if (action instanceof TrafficAction.Claim claim) {
			this.claims.claim(claim.info())
				.thenAccept((result) -> this.duty.put(new TrafficMessage.Claimed(claim.requestId(), result)));
		}
		else if (action instanceof TrafficAction.Release release) {
			this.claimOffsets.remove(release.requestId());
			this.claims.release(release.info(), release.claimOffset());
		}
		else if (action instanceof TrafficAction.Replay replay) {
			forget(replay.requestId());
			replay(exchange, replay);
		}
		else if (action instanceof TrafficAction.Suspect suspect) {
			Events.log(suspect.quarantine() ? EventId.REQUEST_QUARANTINED : EventId.ATTEMPT_FAILED, "fingerprint",
					suspect.fingerprint(), "target", suspect.target().targetId());
		}
	}

	private void settleUnknown(Exchange exchange, TrafficAction.Fail fail) {
		final Long claimOffset = this.claimOffsets.get(fail.requestId());
		if (claimOffset != null && fail.runState() != RunState.NOT_RUN) {
			this.claims.settle(exchange.info(), claimOffset, 0, "", "", true);
		}
	}

	private void replay(Exchange exchange, TrafficAction.Replay replay) {
		final Optional<KeyOutcome> outcome = this.claims.find(replay.info()).flatMap(ClaimEntry::outcome);
		if (outcome.isPresent()) {
			exchange.replay(outcome.get());
		}
		else {
			exchange.fail(ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, 0);
		}
	}

	/**
	 * Stores the outcome of a claimed request before its answer is given.
	 * @param exchange the request
	 * @param status the target's HTTP status
	 * @param contentType the answer's content type
	 * @param body the answer's body
	 */
	void settle(Exchange exchange, int status, String contentType, String body) {
		final Long claimOffset = this.claimOffsets.get(exchange.info().requestId());
		if (claimOffset != null) {
			this.claims.settle(exchange.info(), claimOffset, status, contentType, body, false);
		}
	}

	private void forget(long requestId) {
		this.exchanges.remove(requestId);
		this.claimOffsets.remove(requestId);
	}

}
