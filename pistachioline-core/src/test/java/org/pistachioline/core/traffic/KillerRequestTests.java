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

class KillerRequestTests {

	private static final int REPEATS = 12;

	private static final String KILLER = "killer";

	// One request crashes each group that runs it, and its caller sends it again, each
	// time to another daemon. Users of all other requests would see group after group go.
	@Test
	void aKillerRepeatedAtEveryDaemonCostsTwoGroups() {
		final Fleet fleet = new Fleet(4, 6, LogBasedQuarantine::new);
		fleet.startInnocents(3);
		for (int i = 0; i < REPEATS; i++) {
			fleet.repeatKiller(i % 4);
		}
		assertThat(fleet.groupsLost).isEqualTo(2);
		assertThat(fleet.failures(KILLER)).contains(ErrorKind.QUARANTINED);
		fleet.finishInnocents();
		assertThat(fleet.quarantinedInnocents()).isEmpty();
		assertThat(fleet.innocentsNotFinished()).isZero();
	}

	// The same caller against the baseline without quarantine shows what is at stake.
	@Test
	void withoutQuarantineEachRepeatCostsAGroup() {
		final Fleet fleet = new Fleet(4, 6, NoQuarantine::new);
		for (int i = 0; i < REPEATS; i++) {
			fleet.repeatKiller(i % 4);
		}
		assertThat(fleet.groupsLost).isGreaterThanOrEqualTo(REPEATS);
	}

	// A hasty caller sends three copies to one daemon before the first group has died.
	// Spread over three groups they would take all three before anything is known.
	@Test
	void copiesSentAtOnceToOneDaemonRunOnOneGroup() {
		final Fleet fleet = new Fleet(1, 4, LogBasedQuarantine::new);
		for (int i = 0; i < 3; i++) {
			fleet.arrive(0, KILLER);
		}
		final TrafficHistory daemon = fleet.daemons.get(0);
		assertThat(daemon.live.values().stream().map((attempt) -> attempt.targetId).distinct()).hasSize(1);
		fleet.settle();
		assertThat(fleet.groupsLost).isEqualTo(2);
	}

	// Copies reach two daemons in the same instant, so that each learns of the other's
	// dead group only afterwards. Two groups are lost, and no third.
	@Test
	void copiesSentAtOnceToTwoDaemonsCostTwoGroups() {
		final Fleet fleet = new Fleet(2, 6, LogBasedQuarantine::new);
		fleet.arrive(0, "filler");
		fleet.arrive(0, KILLER);
		fleet.arrive(1, KILLER);
		fleet.settle();
		for (int i = 0; i < REPEATS; i++) {
			fleet.repeatKiller(i % 2);
		}
		assertThat(fleet.groupsLost).isEqualTo(2);
	}

	// The killer's batch had not given a token yet, so any of it may be the cause. Run
	// again together on the next group they would die together, and all be condemned.
	@Test
	void suspectsOfOneBatchAreNotCondemnedTogether() {
		final Fleet fleet = new Fleet(1, 2, LogBasedQuarantine::new);
		for (int i = 0; i < 2 * TrafficHistory.SLOTS - 1; i++) {
			fleet.arrive(0, "innocent-" + i);
		}
		fleet.arrive(0, KILLER);
		for (int i = 0; i < REPEATS; i++) {
			fleet.settle();
			fleet.progressAll(20);
		}
		assertThat(fleet.groupsLost).isEqualTo(2);
		assertThat(fleet.failures(KILLER)).containsExactly(ErrorKind.QUARANTINED);
		fleet.finishInnocents();
		assertThat(fleet.quarantinedInnocents()).isEmpty();
		assertThat(fleet.innocentsNotFinished()).isZero();
	}

	// A rack goes dark and takes group after group from under the same callers. They must
	// get their answers from what still works, not be told that their requests crash it.
	@Test
	void aRollingOutageQuarantinesNobodyWhoRunsOn() {
		final Fleet fleet = new Fleet(2, 8, LogBasedQuarantine::new);
		fleet.startInnocents(8);
		for (int group = 0; group < 5; group++) {
			fleet.kill("g" + group + "@1");
			fleet.settle();
			fleet.progressAll(20);
			fleet.settle();
		}
		fleet.finishInnocents();
		assertThat(fleet.quarantinedInnocents()).isEmpty();
		assertThat(fleet.innocentsNotFinished()).isZero();
	}

	/** Daemons that share groups and the agreed table, without sockets. */
	private static final class Fleet {

		private final List<TrafficHistory> daemons = new ArrayList<>();

		private final Map<String, Integer> epochs = new HashMap<>();

		private FleetState agreed = FleetState.EMPTY;

		private long offset;

		private int groupsLost;

		private long nextRequestId = 1;

		Fleet(int daemonCount, int groupCount, Supplier<QuarantinePolicy> killer) {
			for (int i = 0; i < daemonCount; i++) {
				this.daemons.add(new TrafficHistory(killer.get()));
			}
			for (int i = 0; i < groupCount; i++) {
				this.epochs.put("g" + i, 1);
			}
			publish();
		}

		void startInnocents(int perDaemon) {
			for (int daemon = 0; daemon < this.daemons.size(); daemon++) {
				for (int i = 0; i < perDaemon; i++) {
					arrive(daemon, "innocent-" + daemon + "-" + i);
				}
			}
			progressAll(20);
		}

		void arrive(int daemon, String fingerprint) {
			this.daemons.get(daemon).arrive(this.nextRequestId++, TargetKind.MODEL, fingerprint, false);
		}

		void repeatKiller(int daemon) {
			arrive(daemon, KILLER);
			settle();
			progressAll(1);
		}

		void settle() {
			for (int round = 0; round < 40; round++) {
				runKillers();
				agree();
				this.daemons.forEach((daemon) -> daemon.pass(100));
			}
		}

		private void runKillers() {
			final List<String> doomed = new ArrayList<>();
			for (final TrafficHistory daemon : this.daemons) {
				daemon.live.values()
					.stream()
					.filter((attempt) -> attempt.request.info.fingerprint().equals(KILLER))
					.forEach((attempt) -> doomed.add(attempt.targetId));
			}
			doomed.stream().distinct().forEach(this::kill);
		}

		void kill(String targetId) {
			this.groupsLost++;
			this.epochs.merge(targetId.substring(0, targetId.indexOf('@')), 1, Integer::sum);
			this.daemons.forEach((daemon) -> daemon.dies(targetId));
			publish();
		}

		private void publish() {
			final TargetView[] views = this.epochs.entrySet()
				.stream()
				.map((entry) -> TrafficHistory.model(entry.getKey() + "@" + entry.getValue(), true))
				.toArray(TargetView[]::new);
			this.daemons.forEach((daemon) -> daemon.targets(views));
		}

		private void agree() {
			for (final TrafficHistory daemon : this.daemons) {
				daemon.reports.forEach(this::append);
				daemon.reports.clear();
			}
			final Map<String, String> suspects = new HashMap<>();
			this.agreed.suspicions()
				.forEach((fingerprint, suspicion) -> suspects.put(fingerprint,
						suspicion.groupId() + "@" + suspicion.groupEpoch()));
			final Set<String> quarantined = Set.copyOf(this.agreed.quarantines().keySet());
			this.daemons
				.forEach((daemon) -> daemon.carryOut(daemon.core.onKillers(daemon.nowNanos, quarantined, suspects)));
		}

		private void append(TrafficAction.Suspect report) {
			final String[] target = report.target().targetId().split("@");
			final long untilMillis = 600_000 + this.daemons.get(0).nowNanos / 1_000_000;
			final RecordBody body = report.quarantine() ? new RequestQuarantine(report.fingerprint(), untilMillis, "")
					: new RequestSuspicion(report.fingerprint(), target[0], Long.parseLong(target[1]), untilMillis);
			this.offset++;
			this.agreed = new FleetReducer().apply(this.agreed, this.offset, new LogRecord("d", this.offset, 1, body))
				.state();
		}

		void progressAll(int tokens) {
			for (final TrafficHistory daemon : this.daemons) {
				List.copyOf(daemon.live.keySet()).forEach((id) -> daemon.progress(id, tokens));
			}
		}

		void finishInnocents() {
			for (int round = 0; round < 30; round++) {
				for (final TrafficHistory daemon : this.daemons) {
					for (final AttemptId id : List.copyOf(daemon.live.keySet())) {
						daemon.progress(id, 20);
						daemon.end(id, AttemptEnd.COMPLETE);
					}
					daemon.pass(1_000);
				}
			}
		}

		List<ErrorKind> failures(String fingerprint) {
			final List<ErrorKind> kinds = new ArrayList<>();
			this.daemons.forEach((daemon) -> daemon.requests.values().forEach((request) -> {
				if (request.info.fingerprint().equals(fingerprint) && request.end instanceof TrafficAction.Fail fail) {
					kinds.add(fail.kind());
				}
			}));
			return kinds;
		}

		List<String> quarantinedInnocents() {
			return this.agreed.quarantines()
				.keySet()
				.stream()
				.filter((fingerprint) -> !fingerprint.equals(KILLER))
				.toList();
		}

		long innocentsNotFinished() {
			return this.daemons.stream()
				.flatMap((daemon) -> daemon.requests.values().stream())
				.filter((request) -> !request.info.fingerprint().equals(KILLER))
				.filter((request) -> !(request.end instanceof TrafficAction.Finish))
				.count();
		}

	}

}
