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
 * Reads what engines say of their prefix caches, one engine after the other.
 * <p>
 * A hint that is late costs a prefill, one that is missing too; so the reads are held to
 * four a second however many groups there are, and their cost to a daemon does not grow
 * with the fleet. A target that is met for the first time is asked for its place in its
 * events only, since a thousand old ones would arrive at once.
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
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param engines how engines are asked
	 * @param fleet what is known of targets
	 * @param receiver takes what the engines say
	 */
	public CacheEventDuty(ActorSystem<?> system, EngineCache engines, Supplier<FleetView> fleet,
			Consumer<CacheEvents> receiver) {
		this.engines = engines;
		this.fleet = fleet;
		this.listener = receiver;
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
			.whenComplete((page, failure) -> this.duty.put(new ReadCompleted(target.targetId(), fromSequence, page)));
	}

	private void startRound() {
		this.fleet.get()
			.targets()
			.stream()
			.filter((target) -> target.kind() == TargetKind.MODEL && target.serving())
			.forEach(this.remainingTargets::add);
		final Set<String> known = this.remainingTargets.stream().map(TargetView::targetId).collect(Collectors.toSet());
		this.nextSequences.keySet().retainAll(known);
	}

	@Override
	public void onMessage(ReadCompleted page) {
		this.readInProgress = false;
		if (page.changes() == null) {
			return;
		}
		this.nextSequences.put(page.targetId(), page.changes().nextSequence());
		if (page.fromSequence() != EngineCache.NONE) {
			this.listener.accept(page.changes().summarize(page.targetId(), page.fromSequence()));
		}
	}

	/**
	 * What a read gave.
	 *
	 * @param targetId the target
	 * @param fromSequence the first sequence that was asked for
	 * @param changes the changes; null where the read failed
	 */
	record ReadCompleted(String targetId, long fromSequence, CacheEventPage changes) {
	}

}
