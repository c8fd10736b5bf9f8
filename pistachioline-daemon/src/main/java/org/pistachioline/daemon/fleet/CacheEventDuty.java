package org.pistachioline.daemon.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.target.EngineCache;
import org.pistachioline.core.placement.CacheEventPage;
import org.pistachioline.core.placement.CacheEvents;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;

/**
 * Reads the prefix-cache events of engines, one engine at a time.
 * <p>
 * A late or missing event costs only a prefill. So reads are limited to four per second
 * regardless of the number of groups, and their cost does not grow with the fleet. For a
 * new target only the current position in its event log is requested, since a thousand
 * old events could arrive at once otherwise.
 */
public final class CacheEventDuty implements Lifecycle, DutyHandler<CacheEventDuty.ReadCompleted> {

	private static final int RING_CAPACITY = 64;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

	private final EngineCache engines;

	private final Supplier<FleetView> fleet;

	private final Consumer<CacheEvents> listener;

	private final Duty<ReadCompleted> duty;

	private final Map<String, Long> nextSequences = new HashMap<>();

	private final Deque<TargetView> remainingTargets = new ArrayDeque<>();

	private boolean readInProgress;

	/**
	 * Creates a duty that reads events once it is started.
	 * @param system the process's actor system
	 * @param engines the client that reads cache events from engines
	 * @param fleet supplies the newest view of the targets
	 * @param listener called with the events of each read
	 */
	public CacheEventDuty(ActorSystem<?> system, EngineCache engines, Supplier<FleetView> fleet,
			Consumer<CacheEvents> listener) {
		this.engines = engines;
		this.fleet = fleet;
		this.listener = listener;
		this.duty = new Duty<>(system, "cache-events", RING_CAPACITY, TICK_INTERVAL, this);
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

	@Override
	public void onTick() {
		if (this.readInProgress) {
			return;
		}
		if (this.remainingTargets.isEmpty()) {
			startRound();
		}
		final TargetView target = this.remainingTargets.poll();
		if (target == null) {
			return;
		}
		this.readInProgress = true;
		final long fromSequence = this.nextSequences.getOrDefault(target.targetId(), EngineCache.NONE);
		this.engines.changes(target.address(), fromSequence)
			.whenComplete(
					(changes, failure) -> this.duty.put(new ReadCompleted(target.targetId(), fromSequence, changes)));
	}

	private void startRound() {
		this.fleet.get()
			.targets()
			.stream()
			.filter((target) -> target.kind() == TargetKind.MODEL && target.serving())
			.forEach(this.remainingTargets::add);
		final Set<String> targetIds = this.remainingTargets.stream()
			.map(TargetView::targetId)
			.collect(Collectors.toSet());
		this.nextSequences.keySet().retainAll(targetIds);
	}

	@Override
	public void onMessage(ReadCompleted read) {
		this.readInProgress = false;
		if (read.changes() == null) {
			return;
		}
		this.nextSequences.put(read.targetId(), read.changes().nextSequence());
		if (read.fromSequence() != EngineCache.NONE) {
			this.listener.accept(read.changes().summarize(read.targetId(), read.fromSequence()));
		}
	}

	/**
	 * A read of a target's cache events succeeded or failed.
	 *
	 * @param targetId the target that was read
	 * @param fromSequence the first requested sequence, or {@link EngineCache#NONE} if
	 * only the position was requested
	 * @param changes the changes; null if the read failed
	 */
	record ReadCompleted(String targetId, long fromSequence, CacheEventPage changes) {
	}

}
