package org.pistachioline.replay.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import org.pistachioline.core.fleet.EngineCommand;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.planner.MemberLossPolicy;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.ApplyResult;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;

/**
 * A log, a list of instances, engines and daemons in virtual time; the decisions are the
 * daemon's own.
 */
public final class FleetReplay {

	private static final long MILLI = 1_000_000;

	private static final long TICK_NANOS = 250 * MILLI;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long LIVE_NANOS = 4_000 * MILLI;

	private final Map<String, ReplayEngine> engines = new TreeMap<>();

	private final Map<String, ReplayDaemon> daemons = new TreeMap<>();

	private final Map<String, Long> heardAtNanos = new HashMap<>();

	private final Map<String, Integer> runningByModel = new HashMap<>();

	private final List<LogRecord> log = new ArrayList<>();

	private final FleetReducer reducer = new FleetReducer();

	private final boolean checksFencing;

	private final long loadNanos;

	private Manifest manifest;

	private FleetState state = FleetState.EMPTY;

	private UnaryOperator<List<LogRecord>> appendFault = (records) -> records;

	private Predicate<EngineCommand> orderArrives = (command) -> true;

	private long nowNanos = MILLI;

	private double downtimeGroupSeconds;

	private double strandedAcceleratorSeconds;

	private int formations;

	/**
	 * Creates an empty fleet.
	 * @param manifest the manifest in force
	 * @param loadSeconds how long an engine loads
	 */
	public FleetReplay(Manifest manifest, long loadSeconds) {
		this.manifest = manifest;
		this.checksFencing = manifest.pools().stream().allMatch(PoolSpec::checksFencing);
		this.loadNanos = loadSeconds * (long) NANOS_PER_SECOND;
	}

	/**
	 * Adds an instance.
	 * @param instance the instance as listed
	 */
	public void add(Instance instance) {
		this.engines.put(instance.id(), new ReplayEngine(instance, this.checksFencing, this.loadNanos));
	}

	/**
	 * Adds a daemon.
	 * @param id its name
	 * @param policy what it does about lost members
	 */
	public void addDaemon(String id, MemberLossPolicy policy) {
		this.daemons.put(id, new ReplayDaemon(id, this, policy));
		this.heardAtNanos.put(id, this.nowNanos);
	}

	/**
	 * Sets how many requests a model has in its groups.
	 * @param model the model
	 * @param running how many
	 */
	public void demand(String model, int running) {
		this.runningByModel.put(model, running);
	}

	/**
	 * Applies an event to an instance.
	 * @param event the event
	 */
	public void apply(InstanceEvent event) {
		final ReplayEngine engine = this.engines.get(event.instanceId());
		switch (event.kind()) {
			case DARK -> engine.goDark();
			case BACK -> engine.comeBack();
			case LEAVING -> engine.leave();
			case GONE -> this.engines.remove(event.instanceId());
		}
	}

	/**
	 * Runs for a time.
	 * @param millis how long
	 */
	public void run(long millis) {
		final long endNanos = this.nowNanos + millis * MILLI;
		while (this.nowNanos < endNanos) {
			this.nowNanos += TICK_NANOS;
			for (final ReplayDaemon daemon : this.daemons.values()) {
				if (!daemon.isPaused() && !daemon.isCutOff()) {
					this.heardAtNanos.put(daemon.id(), this.nowNanos);
				}
			}
			this.daemons.values().forEach(ReplayDaemon::tick);
			measure();
		}
	}

	private void measure() {
		final double seconds = TICK_NANOS / NANOS_PER_SECOND;
		final Map<String, Integer> servingByModel = new HashMap<>();
		int stranded = 0;
		for (final GroupState group : this.state.groups().values()) {
			if (isComplete(group) && !group.draining()) {
				servingByModel.merge(group.model(), 1, Integer::sum);
			}
			else {
				stranded += upAccelerators(group);
			}
		}
		boolean lacking = false;
		for (final ModelSpec model : this.manifest.models()) {
			final int serving = servingByModel.getOrDefault(model.name(), 0);
			this.downtimeGroupSeconds += Math.max(0, model.minReplicas() - serving) * seconds;
			final int wanted = Math.min(model.maxReplicas(),
					this.runningByModel.getOrDefault(model.name(), 0) / model.maxConcurrentRequests());
			lacking |= serving < Math.max(model.minReplicas(), wanted);
		}
		if (lacking) {
			stranded += freeAccelerators();
		}
		this.strandedAcceleratorSeconds += stranded * seconds;
	}

	private int upAccelerators(GroupState group) {
		return group.members()
			.stream()
			.filter((member) -> isUp(member.instanceId()))
			.mapToInt((member) -> member.accelerators())
			.sum();
	}

	private int freeAccelerators() {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.isUp() && !engine.listed().leaving()
					&& !this.state.groupIdsByInstance().containsKey(engine.listed().id()))
			.mapToInt((engine) -> engine.listed().accelerators())
			.sum();
	}

	private boolean isUp(String instanceId) {
		final ReplayEngine engine = this.engines.get(instanceId);
		return engine != null && engine.isUp();
	}

	/**
	 * Returns whether every member of a group truly holds its place.
	 * @param group the group
	 * @return whether all do
	 */
	public boolean isComplete(GroupState group) {
		for (int rank = 0; rank < group.members().size(); rank++) {
			final ReplayEngine engine = this.engines.get(group.members().get(rank).instanceId());
			if (engine == null || !engine.serves(group, rank, this.nowNanos)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Sets what becomes of records on their way to the log.
	 * @param fault turns what was sent into what lands
	 */
	public void appendFault(UnaryOperator<List<LogRecord>> fault) {
		this.appendFault = fault;
	}

	/**
	 * Sets which orders arrive.
	 * @param arrives whether one does
	 */
	public void orderFault(Predicate<EngineCommand> arrives) {
		this.orderArrives = arrives;
	}

	void append(LogRecord sent) {
		for (final LogRecord record : this.appendFault.apply(List.of(sent))) {
			final ApplyResult<FleetState> applied = this.reducer.apply(this.state, this.log.size(), record);
			this.state = applied.state();
			this.log.add(record);
			this.formations += (applied.isAccepted() && record.body() instanceof GroupFormation) ? 1 : 0;
		}
	}

	void deliver(EngineCommand command) {
		final ReplayEngine engine = this.engines.get(command.instanceId());
		if (engine != null && this.orderArrives.test(command)) {
			engine.order(command.order(), this.nowNanos);
		}
	}

	Optional<EngineState> ask(String instanceId) {
		return Optional.ofNullable(this.engines.get(instanceId))
			.filter(ReplayEngine::isUp)
			.map((engine) -> engine.state(this.nowNanos));
	}

	int runningIn(GroupState group) {
		final long groups = this.state.groups()
			.values()
			.stream()
			.filter((other) -> other.model().equals(group.model()) && !other.draining())
			.count();
		return (group.draining() || groups == 0) ? 0
				: (int) (this.runningByModel.getOrDefault(group.model(), 0) / groups);
	}

	Set<String> liveDaemons() {
		final Set<String> live = new TreeSet<>();
		this.heardAtNanos.forEach((id, heard) -> {
			if (this.nowNanos - heard <= LIVE_NANOS) {
				live.add(id);
			}
		});
		return live;
	}

	String domainOf(String instanceId) {
		final ReplayEngine engine = this.engines.get(instanceId);
		if (engine != null) {
			return engine.listed().fabricDomain();
		}
		final GroupState group = this.state.groups().get(this.state.groupIdsByInstance().get(instanceId));
		return (group != null) ? group.fabricDomain() : "";
	}

	List<LogRecord> log() {
		return this.log;
	}

	List<Instance> listed() {
		return this.engines.values().stream().map(ReplayEngine::listed).toList();
	}

	Map<String, ReplayDaemon> daemons() {
		return this.daemons;
	}

	Map<String, ReplayEngine> engines() {
		return this.engines;
	}

	Manifest manifest() {
		return this.manifest;
	}

	void manifest(Manifest changed) {
		this.manifest = changed;
	}

	long nowNanos() {
		return this.nowNanos;
	}

	/**
	 * Returns the agreed state at the log's end.
	 * @return the state
	 */
	public FleetState state() {
		return this.state;
	}

	/**
	 * Returns what it cost so far.
	 * @return the figures
	 */
	public FleetFigures figures() {
		return new FleetFigures(this.downtimeGroupSeconds, this.strandedAcceleratorSeconds, this.formations);
	}

}
