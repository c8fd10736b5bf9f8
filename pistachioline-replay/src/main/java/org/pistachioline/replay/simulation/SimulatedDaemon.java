package org.pistachioline.replay.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.admission.LimitShares;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimVerdict;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * One daemon: the very decision core that runs in production, and what carries out its
 * actions on the fakes.
 */
final class SimulatedDaemon {

	private static final long SILENT_NANOS = 2_000_000_000L;

	private static final long FORGET_NANOS = 60_000_000_000L;

	private static final long HOLD_NANOS = 1_000_000_000L;

	private static final double SAME_ZONE_MILLIS = 0.2;

	private static final double OTHER_ZONE_MILLIS = 1.5;

	private final Simulation simulation;

	private final EventQueue events;

	private final String daemonId;

	private final String availabilityZone;

	private final UniformRandomProvider random;

	private final TrafficCore core;

	private final LimitShares shares;

	private final Map<Long, Submission> submissions = new LinkedHashMap<>();

	private final Map<String, Long> heardAtNanos = new HashMap<>();

	private final Map<AttemptId, Run> runs = new HashMap<>();

	private final Map<AttemptId, SimulatedTarget> targetsByAttempt = new HashMap<>();

	private final Map<SimulatedTarget, Long> cacheCursors = new HashMap<>();

	private boolean alive = true;

	SimulatedDaemon(Simulation simulation, EventQueue events, PolicySet set, int index, String availabilityZone,
			long seed) {
		this.simulation = simulation;
		this.events = events;
		this.daemonId = "d" + index;
		this.shares = new LimitShares(SILENT_NANOS, FORGET_NANOS, HOLD_NANOS);
		this.availabilityZone = availabilityZone;
		this.random = RandomSource.SPLIT_MIX_64.create(seed * 7919 + index);
		this.core = new TrafficCore(set.create(availabilityZone, seed * 104_729 + index));
	}

	boolean alive() {
		return this.alive;
	}

	String daemonId() {
		return this.daemonId;
	}

	String availabilityZone() {
		return this.availabilityZone;
	}

	int held() {
		return this.submissions.size();
	}

	int queued() {
		return this.core.queuedRequestCount();
	}

	double chance() {
		return this.random.nextDouble();
	}

	void configure(Manifest manifest) {
		act(this.core.onManifest(this.events.nowNanos(), manifest));
	}

	void targets(List<TargetView> views) {
		act(this.core.onTargets(this.events.nowNanos(), views));
	}

	void arrive(Submission submission) {
		this.submissions.put(submission.info.requestId(), submission);
		act(this.core.onRequest(this.events.nowNanos(), submission.info));
	}

	void tick() {
		act(this.core.onTick(this.events.nowNanos()));
	}

	void killers(Set<String> quarantined, Map<String, String> suspectTargetIds) {
		if (this.alive) {
			act(this.core.onQuarantines(this.events.nowNanos(), quarantined, suspectTargetIds));
		}
	}

	Map<String, Double> demand() {
		final Map<String, Double> demand = this.core.demand(this.events.nowNanos());
		this.shares.onDemand(demand);
		return demand;
	}

	void hear(String peer, Map<String, Double> demand) {
		this.heardAtNanos.put(peer, this.events.nowNanos());
		this.shares.onPeerDemand(this.events.nowNanos(), peer, false, demand);
	}

	void share(List<String> workspaces) {
		final Set<String> live = new HashSet<>();
		this.heardAtNanos.forEach((peer, atNanos) -> {
			if (this.events.nowNanos() - atNanos <= SILENT_NANOS) {
				live.add(peer);
			}
		});
		final long nowNanos = this.events.nowNanos();
		act(this.core.onShares(nowNanos, LiveDaemons.of(this.daemonId, live),
				this.shares.shareRatios(nowNanos, workspaces)));
	}

	void readCache(SimulatedTarget target, double lossRatio) {
		final long from = this.cacheCursors.getOrDefault(target, 0L);
		final boolean lost = chance() < lossRatio;
		this.cacheCursors.put(target, target.cache().end());
		if (lost) {
			this.core.onCacheEvents(this.events.nowNanos(),
					target.cache().events(target.targetId(), target.cache().end(), true));
		}
		else if (from < target.cache().end()) {
			this.core.onCacheEvents(this.events.nowNanos(), target.cache().events(target.targetId(), from, false));
		}
	}

	void onProgress(Run run) {
		if (!this.alive) {
			return;
		}
		if (run.submission.firstTokenAtNanos == 0) {
			run.submission.firstTokenAtNanos = this.events.nowNanos();
		}
		this.core.onProgress(this.events.nowNanos(), run.attempt, run.position);
	}

	void onAttemptEnd(Run run, AttemptOutcome how) {
		if (!this.alive) {
			return;
		}
		run.submission.liveRuns--;
		this.runs.remove(run.attempt);
		final SimulatedTarget target = this.targetsByAttempt.remove(run.attempt);
		if (how == AttemptOutcome.COMPLETE) {
			this.simulation.figures().onComplete(run, target);
		}
		act(this.core.onAttemptEnd(this.events.nowNanos(), run.attempt, how, run.position));
	}

	private void act(List<TrafficAction> actions) {
		for (final TrafficAction action : actions) {
			final Submission submission = this.submissions.get(action.requestId());
			if (action instanceof TrafficAction.Start start) {
				start(start, submission);
			}
			else if (action instanceof TrafficAction.Cancel cancel) {
				cancel(cancel.attempt());
			}
			else if (action instanceof TrafficAction.Finish) {
				settle(submission, ClaimVerdict.SETTLED);
				end(submission, true);
			}
			else if (action instanceof TrafficAction.Fail fail) {
				fail(fail, submission);
			}
			else if (action instanceof TrafficAction.Claim) {
				this.simulation.log().claim(submission, (verdict) -> onClaim(submission, verdict));
			}
			else if (action instanceof TrafficAction.Release release) {
				this.simulation.log().release(release.info().claim().keyHash(), release.claimOffset());
			}
			else if (action instanceof TrafficAction.Replay) {
				end(submission, true);
			}
			else if (action instanceof TrafficAction.ReportSuspect suspect) {
				this.simulation.suspect(suspect);
			}
		}
	}

	private void start(TrafficAction.Start start, Submission submission) {
		final SimulatedTarget target = this.simulation.target(start.target().targetId());
		final Run run = new Run(start.attempt(), submission, start.resumeFromTokens());
		this.runs.put(start.attempt(), run);
		this.targetsByAttempt.put(start.attempt(), target);
		submission.liveRuns++;
		this.simulation.figures().onLiveRuns(submission.liveRuns);
		final boolean near = target.availabilityZone().equals(this.availabilityZone);
		this.events.afterMillis(near ? SAME_ZONE_MILLIS : OTHER_ZONE_MILLIS,
				() -> target.accept(start.target().targetId(), run));
	}

	private void cancel(AttemptId attempt) {
		final Run run = this.runs.remove(attempt);
		if (run != null) {
			run.submission.liveRuns--;
			this.targetsByAttempt.remove(attempt).cancel(run);
			// As the daemon's exchanges do, the end is told after the cancellation.
			this.events.afterMillis(0, () -> {
				if (this.alive) {
					act(this.core.onAttemptEnd(this.events.nowNanos(), attempt, AttemptOutcome.CANCELLED,
							run.position));
				}
			});
		}
	}

	private void onClaim(Submission submission, SimulatedLog.Verdict verdict) {
		if (!this.alive) {
			return;
		}
		submission.claimed = verdict.verdict() == ClaimVerdict.GRANTED;
		act(this.core.onClaim(this.events.nowNanos(), submission.info.requestId(), verdict.verdict(),
				verdict.offset()));
	}

	private void fail(TrafficAction.Fail fail, Submission submission) {
		if (fail.runState() != RunState.NOT_RUN) {
			settle(submission, ClaimVerdict.UNKNOWN);
		}
		this.simulation.figures().onFail(submission, fail);
		end(submission, false);
		this.simulation.refused(submission, fail);
	}

	private void settle(Submission submission, ClaimVerdict state) {
		if (submission.claimed) {
			this.simulation.log().settle(submission, state);
		}
	}

	private void end(Submission submission, boolean answered) {
		submission.ends++;
		this.submissions.remove(submission.info.requestId());
		this.simulation.figures().onEnd(submission, answered);
		if (answered) {
			this.simulation.callEnded();
		}
	}

	/**
	 * Ends the daemon as a kill does: nothing of it answers any more.
	 */
	void kill() {
		if (!this.alive) {
			return;
		}
		this.alive = false;
		for (final Map.Entry<AttemptId, Run> entry : new ArrayList<>(this.runs.entrySet())) {
			this.targetsByAttempt.get(entry.getKey()).cancel(entry.getValue());
		}
		final List<Submission> lost = new ArrayList<>(this.submissions.values());
		this.submissions.clear();
		for (final Submission submission : lost) {
			// What the dead daemon claimed may have run; nobody else may run it.
			settle(submission, ClaimVerdict.UNKNOWN);
			submission.ends++;
			this.simulation.connectionLost(submission);
		}
	}

}
