package org.pistachioline.replay.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random faults over a whole history; the rules are checked at every step of it.
 */
class FleetHistoryTests {

	private static final int DAEMONS = 3;

	private static final int DOMAINS = 2;

	private static final int INSTANCES = 6;

	private static final long STEP_MILLIS = 250;

	/** The bound of a proof and two steps: one to probe and one to look. */
	private static final long BOUND_NANOS = (2_500 + 2 * STEP_MILLIS) * 1_000_000;

	private final Map<String, Long> heldAtNanos = new HashMap<>();

	@Provide
	Arbitrary<List<Fault>> faults() {
		return Combinators
			.combine(Arbitraries.of(Kind.class), Arbitraries.integers().between(0, DOMAINS * INSTANCES - 1),
					Arbitraries.integers().between(1, 60))
			.as(Fault::new)
			.list()
			.ofMinSize(5)
			.ofMaxSize(25);
	}

	@Property(tries = 20, seed = "20261202")
	void rulesHoldWhateverFailsWithEnginesThatCheck(@ForAll("faults") List<Fault> faults) {
		history(true, faults);
	}

	@Property(tries = 20, seed = "20261203")
	void rulesHoldWhateverFailsWithEnginesThatIgnoreFencing(@ForAll("faults") List<Fault> faults) {
		history(false, faults);
	}

	private void history(boolean checks, List<Fault> faults) {
		this.heldAtNanos.clear();
		final FleetReplay fleet = Fleets.of(
				Fleets.manifest(checks, Fleets.model("large", 3, 2, 3), Fleets.model("small", 2, 1, 2)), DAEMONS,
				DOMAINS, INSTANCES);
		run(fleet, 60);
		for (final Fault fault : faults) {
			apply(fleet, fault);
			run(fleet, fault.seconds());
		}
		heal(fleet);
		run(fleet, 600);
		final Set<String> models = new HashSet<>();
		fleet.state()
			.groups()
			.values()
			.stream()
			.filter(fleet::isComplete)
			.forEach((group) -> models.add(group.model()));
		final long usable = fleet.engines().values().stream().filter((engine) -> !engine.listed().leaving()).count();
		if (usable >= DOMAINS * INSTANCES - 1) {
			assertThat(models).containsExactlyInAnyOrder("large", "small");
		}
	}

	private static void apply(FleetReplay fleet, Fault fault) {
		final String instance = "i-" + fault.index() / INSTANCES + "-" + fault.index() % INSTANCES;
		final ReplayDaemon daemon = fleet.daemons().get("daemon-" + fault.index() % DAEMONS);
		final boolean present = fleet.engines().containsKey(instance);
		switch (fault.kind()) {
			case DARK, BACK, LEAVING, GONE -> {
				if (present) {
					Fleets.event(fleet, instance, InstanceEvent.Kind.valueOf(fault.kind().name()));
				}
			}
			case DOMAIN_DARK -> fleet.engines()
				.keySet()
				.stream()
				.filter((id) -> fleet.domainOf(id).equals("rack-" + fault.index() % DOMAINS))
				.forEach((id) -> Fleets.event(fleet, id, InstanceEvent.Kind.DARK));
			case ALL_BACK -> fleet.engines().keySet().forEach((id) -> Fleets.event(fleet, id, InstanceEvent.Kind.BACK));
			case PAUSE -> {
				if (!daemon.isPaused()) {
					daemon.pause();
				}
			}
			case WAKE -> daemon.wake();
			case CUT_OFF -> daemon.cutOff(true);
			case JOIN -> daemon.cutOff(false);
			case APPENDS_LOST -> fleet.appendFault((records) -> List.of());
			case APPENDS_DOUBLED -> fleet.appendFault(FleetHistoryTests::doubled);
			case ORDERS_LOST -> fleet.orderFault((command) -> !command.instanceId().equals(instance));
			case ALL_WELL -> {
				fleet.appendFault((records) -> records);
				fleet.orderFault((command) -> true);
			}
			case DEMAND -> fleet.demand("large", fault.index() * 4);
		}
	}

	private static List<LogRecord> doubled(List<LogRecord> records) {
		return List.of(records.get(0), records.get(0));
	}

	private static void heal(FleetReplay fleet) {
		apply(fleet, new Fault(Kind.ALL_WELL, 0, 1));
		apply(fleet, new Fault(Kind.ALL_BACK, 0, 1));
		fleet.demand("large", 0);
		fleet.daemons().values().forEach((daemon) -> {
			daemon.wake();
			daemon.cutOff(false);
		});
	}

	private void run(FleetReplay fleet, long seconds) {
		for (long millis = 0; millis < seconds * 1_000; millis += STEP_MILLIS) {
			fleet.run(STEP_MILLIS);
			check(fleet);
		}
	}

	private void check(FleetReplay fleet) {
		final Set<String> owned = new HashSet<>();
		for (final GroupState group : fleet.state().groups().values()) {
			final Set<String> domains = new HashSet<>();
			for (int rank = 0; rank < group.members().size(); rank++) {
				final Member member = group.members().get(rank);
				assertThat(owned.add(member.instanceId())).as("an instance in two groups").isTrue();
				domains.add(member.fabricDomain());
			}
			assertThat(domains).as("fabric domains of a group").hasSize(1);
		}
		for (final ReplayDaemon daemon : fleet.daemons().values()) {
			for (final GroupState group : daemon.state().groups().values()) {
				noteHeld(fleet, group);
				if (daemon.serves(group)) {
					checkServed(fleet, group);
				}
			}
		}
	}

	private void noteHeld(FleetReplay fleet, GroupState group) {
		for (int rank = 0; rank < group.members().size(); rank++) {
			final ReplayEngine engine = fleet.engines().get(group.members().get(rank).instanceId());
			if (engine != null && engine.serves(group, rank, fleet.nowNanos())) {
				this.heldAtNanos.put(group.epoch() + "/" + rank, fleet.nowNanos());
			}
		}
	}

	private void checkServed(FleetReplay fleet, GroupState group) {
		for (int rank = 0; rank < group.members().size(); rank++) {
			final Long held = this.heldAtNanos.get(group.epoch() + "/" + rank);
			assertThat(held).as("a member that never held its place").isNotNull();
			assertThat(fleet.nowNanos() - held).as("age of a served group's lost member")
				.isLessThanOrEqualTo(BOUND_NANOS);
			final ReplayEngine engine = fleet.engines().get(group.members().get(rank).instanceId());
			assertThat(engine != null && engine.listed().leaving()).as("new work on a leaving instance").isFalse();
		}
	}

	/** What fails. */
	enum Kind {

		DARK, BACK, LEAVING, GONE, DOMAIN_DARK, ALL_BACK, PAUSE, WAKE, CUT_OFF, JOIN, APPENDS_LOST, APPENDS_DOUBLED,
		ORDERS_LOST, ALL_WELL, DEMAND

	}

	/**
	 * One fault.
	 *
	 * @param kind what fails
	 * @param index which instance, domain or daemon
	 * @param seconds how long until the next
	 */
	record Fault(Kind kind, int index, int seconds) {
	}

}
