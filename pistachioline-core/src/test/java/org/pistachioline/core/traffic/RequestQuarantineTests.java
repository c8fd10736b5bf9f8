package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.quarantine.NoQuarantine;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.record.RequestQuarantine;
import org.pistachioline.core.record.RequestSuspicion;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;

import static org.assertj.core.api.Assertions.assertThat;

class RequestQuarantineTests {

	private static final int SUBMISSIONS = 12;

	private static final String CRASHING_REQUEST = "crashing";

	// Guards against the loss of one group after another: a request crashes each group
	// that runs it, and its caller resubmits it, each time to another daemon.
	@Test
	void aCrashingRequestResubmittedToEveryDaemonCostsTwoGroups() {
		final Fleet fleet = new Fleet(4, 6, LogBasedQuarantine::new);
		fleet.startBystanders(3);
		for (int i = 0; i < SUBMISSIONS; i++) {
			fleet.submitCrashingRequest(i % 4);
		}
		assertThat(fleet.groupsLost).isEqualTo(2);
		assertThat(fleet.failures(CRASHING_REQUEST)).contains(ErrorKind.QUARANTINED);
		fleet.completeBystanders();
		assertThat(fleet.quarantinedBystanders()).isEmpty();
		assertThat(fleet.incompleteBystanders()).isZero();
	}

	// The baseline without quarantine, which shows that the scenario does crash groups.
	@Test
	void withoutQuarantineEachSubmissionCostsAGroup() {
		final Fleet fleet = new Fleet(4, 6, NoQuarantine::new);
		for (int i = 0; i < SUBMISSIONS; i++) {
			fleet.submitCrashingRequest(i % 4);
		}
		assertThat(fleet.groupsLost).isGreaterThanOrEqualTo(SUBMISSIONS);
	}

	// A caller sends three copies to one daemon before the first group has crashed. If
	// they were spread over three groups, all three would crash before the request is a
	// suspect.
	@Test
	void copiesSentAtOnceToOneDaemonRunOnOneGroup() {
		final Fleet fleet = new Fleet(1, 4, LogBasedQuarantine::new);
		for (int i = 0; i < 3; i++) {
			fleet.arrive(0, CRASHING_REQUEST);
		}
		final TrafficSimulation daemon = fleet.daemons.get(0);
		assertThat(daemon.liveAttempts.values().stream().map((attempt) -> attempt.targetId).distinct()).hasSize(1);
		fleet.settle();
		assertThat(fleet.groupsLost).isEqualTo(2);
	}

	// Copies arrive at two daemons at the same time, so each daemon learns of the other's
	// crash only afterwards. Two groups are lost, but no third.
	@Test
	void copiesSentAtOnceToTwoDaemonsCostTwoGroups() {
		final Fleet fleet = new Fleet(2, 6, LogBasedQuarantine::new);
		fleet.arrive(0, "filler");
		fleet.arrive(0, CRASHING_REQUEST);
		fleet.arrive(1, CRASHING_REQUEST);
		fleet.settle();
		for (int i = 0; i < SUBMISSIONS; i++) {
			fleet.submitCrashingRequest(i % 2);
		}
		assertThat(fleet.groupsLost).isEqualTo(2);
	}

	// Guards against the quarantine of bystanders. The batch of the crashing request had
	// delivered no token yet, so each of its requests may be the cause. If they all ran
	// together on the next group, its crash would quarantine all of them.
	@Test
	void suspectsOfOneBatchAreNotQuarantinedTogether() {
		final Fleet fleet = new Fleet(1, 2, LogBasedQuarantine::new);
		for (int i = 0; i < 2 * TrafficSimulation.SLOTS - 1; i++) {
			fleet.arrive(0, "bystander-" + i);
		}
		fleet.arrive(0, CRASHING_REQUEST);
		for (int i = 0; i < SUBMISSIONS; i++) {
			fleet.settle();
			fleet.progressAll(20);
		}
		assertThat(fleet.groupsLost).isEqualTo(2);
		assertThat(fleet.failures(CRASHING_REQUEST)).containsExactly(ErrorKind.QUARANTINED);
		fleet.completeBystanders();
		assertThat(fleet.quarantinedBystanders()).isEmpty();
		assertThat(fleet.incompleteBystanders()).isZero();
	}

	// Guards against the quarantine of ordinary requests during a rolling outage, in
	// which a failing rack takes down one group after another under the same requests.
	// They must complete on the remaining groups.
	@Test
	void aRollingOutageQuarantinesNoRequestThatRunsOn() {
		final Fleet fleet = new Fleet(2, 8, LogBasedQuarantine::new);
		fleet.startBystanders(8);
		for (int group = 0; group < 5; group++) {
			fleet.crashTarget("g" + group + "@1");
			fleet.settle();
			fleet.progressAll(20);
			fleet.settle();
		}
		fleet.completeBystanders();
		assertThat(fleet.quarantinedBystanders()).isEmpty();
		assertThat(fleet.incompleteBystanders()).isZero();
	}

	/** Simulated daemons that share groups and the state of the log, without sockets. */
	private static final class Fleet {

		private final List<TrafficSimulation> daemons = new ArrayList<>();

		private final Map<String, Integer> groupEpochs = new HashMap<>();

		private FleetState logState = FleetState.EMPTY;

		private long offset;

		private int groupsLost;

		private long nextRequestId = 1;

		Fleet(int daemonCount, int groupCount, Supplier<QuarantinePolicy> quarantine) {
			for (int i = 0; i < daemonCount; i++) {
				this.daemons.add(new TrafficSimulation(quarantine.get()));
			}
			for (int i = 0; i < groupCount; i++) {
				this.groupEpochs.put("g" + i, 1);
			}
			publish();
		}

		void startBystanders(int perDaemon) {
			for (int daemon = 0; daemon < this.daemons.size(); daemon++) {
				for (int i = 0; i < perDaemon; i++) {
					arrive(daemon, "bystander-" + daemon + "-" + i);
				}
			}
			progressAll(20);
		}

		void arrive(int daemon, String fingerprint) {
			this.daemons.get(daemon).arrive(this.nextRequestId++, TargetKind.MODEL, fingerprint, false);
		}

		void submitCrashingRequest(int daemon) {
			arrive(daemon, CRASHING_REQUEST);
			settle();
			progressAll(1);
		}

		void settle() {
			for (int round = 0; round < 40; round++) {
				crashTargetsOfCrashingRequest();
				exchangeThroughLog();
				this.daemons.forEach((daemon) -> daemon.advance(100));
			}
		}

		private void crashTargetsOfCrashingRequest() {
			final List<String> targetIds = new ArrayList<>();
			for (final TrafficSimulation daemon : this.daemons) {
				daemon.liveAttempts.values()
					.stream()
					.filter((attempt) -> attempt.request.info.fingerprint().equals(CRASHING_REQUEST))
					.forEach((attempt) -> targetIds.add(attempt.targetId));
			}
			targetIds.stream().distinct().forEach(this::crashTarget);
		}

		void crashTarget(String targetId) {
			this.groupsLost++;
			this.groupEpochs.merge(targetId.substring(0, targetId.indexOf('@')), 1, Integer::sum);
			this.daemons.forEach((daemon) -> daemon.crashTarget(targetId));
			publish();
		}

		private void publish() {
			final TargetView[] views = this.groupEpochs.entrySet()
				.stream()
				.map((entry) -> TrafficSimulation.model(entry.getKey() + "@" + entry.getValue(), true))
				.toArray(TargetView[]::new);
			this.daemons.forEach((daemon) -> daemon.targets(views));
		}

		private void exchangeThroughLog() {
			for (final TrafficSimulation daemon : this.daemons) {
				daemon.suspectReports.forEach(this::append);
				daemon.suspectReports.clear();
			}
			final Map<String, String> suspects = new HashMap<>();
			this.logState.suspicions()
				.forEach((fingerprint, suspicion) -> suspects.put(fingerprint,
						suspicion.groupId() + "@" + suspicion.groupEpoch()));
			final Set<String> quarantined = Set.copyOf(this.logState.quarantines().keySet());
			this.daemons
				.forEach((daemon) -> daemon.apply(daemon.core.onQuarantines(daemon.nowNanos, quarantined, suspects)));
		}

		private void append(TrafficAction.ReportSuspect report) {
			final String[] target = report.target().targetId().split("@");
			final long untilMillis = 600_000 + this.daemons.get(0).nowNanos / 1_000_000;
			final RecordBody body = report.quarantine() ? new RequestQuarantine(report.fingerprint(), untilMillis, "")
					: new RequestSuspicion(report.fingerprint(), target[0], Long.parseLong(target[1]), untilMillis);
			this.offset++;
			this.logState = new FleetReducer()
				.apply(this.logState, this.offset, new LogRecord("d", this.offset, 1, body))
				.state();
		}

		void progressAll(int tokens) {
			for (final TrafficSimulation daemon : this.daemons) {
				List.copyOf(daemon.liveAttempts.keySet()).forEach((id) -> daemon.progress(id, tokens));
			}
		}

		void completeBystanders() {
			for (int round = 0; round < 30; round++) {
				for (final TrafficSimulation daemon : this.daemons) {
					for (final AttemptId id : List.copyOf(daemon.liveAttempts.keySet())) {
						daemon.progress(id, 20);
						daemon.end(id, AttemptOutcome.COMPLETE);
					}
					daemon.advance(1_000);
				}
			}
		}

		List<ErrorKind> failures(String fingerprint) {
			final List<ErrorKind> kinds = new ArrayList<>();
			this.daemons.forEach((daemon) -> daemon.requests.values().forEach((request) -> {
				if (request.info.fingerprint().equals(fingerprint)
						&& request.finalAction instanceof TrafficAction.Fail fail) {
					kinds.add(fail.kind());
				}
			}));
			return kinds;
		}

		List<String> quarantinedBystanders() {
			return this.logState.quarantines()
				.keySet()
				.stream()
				.filter((fingerprint) -> !fingerprint.equals(CRASHING_REQUEST))
				.toList();
		}

		long incompleteBystanders() {
			return this.daemons.stream()
				.flatMap((daemon) -> daemon.requests.values().stream())
				.filter((request) -> !request.info.fingerprint().equals(CRASHING_REQUEST))
				.filter((request) -> !(request.finalAction instanceof TrafficAction.Finish))
				.count();
		}

	}

}
