package org.pistachioline.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiFunction;

import org.pistachioline.core.demand.DemandEstimate;
import org.pistachioline.core.queueing.FairQueue;
import org.pistachioline.core.queueing.OnTimeFirstOrder;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

/**
 * Simulates daemons with the admission and the queue of production before targets that
 * they share, in virtual time. Callers who are refused come back once.
 */
final class FleetSimulation implements SlotCounts {

	static final String MODEL = "assistant/small";

	static final List<FleetKind> KINDS = List.of(new FleetKind(9, 250, 6_000, 2, 0.2, 0.6, 250),
			new FleetKind(8, 500, 8_000, 1.9, 0.47, 0.25, 400), new FleetKind(7, 1_000, 6_000, 0.51, 0.19, 0.15, 200));

	static final int WORKSPACES = 24;

	static final int SLOTS = 48;

	static final double WARM_UP_SECONDS = 4;

	static final double SECONDS = 8;

	private static final int LARGE_WORKSPACES = 3;

	private static final long MILLI_NANOS = 1_000_000L;

	private static final double SECOND_NANOS = 1e9;

	private static final long HEARTBEAT_NANOS = 300 * MILLI_NANOS;

	private static final long REPORT_NANOS = 700 * MILLI_NANOS;

	private static final long TICK_NANOS = 50 * MILLI_NANOS;

	private static final long FIRST_TOKEN_NANOS = 30 * MILLI_NANOS;

	private static final double LAST_RETURN_SECONDS = 4;

	private static final long STAY_MILLIS = 2_000;

	private static final int FAN_OUT = 2;

	private static final int HEARTBEATS_PER_WORKSPACES = 3;

	private static final double LOST_HEARTBEAT_RATIO = 0.1;

	private static final double IMPATIENT_RATIO = 0.2;

	private static final int MAX_ATTEMPTS = 2;

	private static final int MEAN_TOKENS = 100;

	private static final int SERVED_BEFORE = 10;

	private final List<FleetCaller> callers = new ArrayList<>();

	private final List<Long> refusalWaitsNanos = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private final Map<Long, FleetCaller> callersByRequest = new HashMap<>();

	private final Map<Long, Long> arrivedAtNanos = new HashMap<>();

	private final Random random;

	private final List<Daemon> daemons = new ArrayList<>();

	private int freeSlots = SLOTS;

	private int reportedFreeSlots;

	private long nextSequence;

	private long nextRequestId;

	/**
	 * Plays a run.
	 * @param daemonCount the number of daemons
	 * @param seed the seed, which determines the callers independently of the daemons
	 * @param load returns the demand of a kind at a time, as a part of the room
	 */
	FleetSimulation(int daemonCount, long seed, BiFunction<FleetKind, Double, Double> load) {
		this.random = new Random(seed * 31 + daemonCount);
		for (int index = 0; index < daemonCount; index++) {
			final FleetAdmission admission = new FleetAdmission(this.random.nextLong(), () -> daemonCount);
			final Daemon daemon = new Daemon(admission,
					FairQueue.byRank(1_000, new OnTimeFirstOrder(), admission::hasRoomForLate));
			daemon.admission.bind(this);
			serveBefore(admission);
			this.daemons.add(daemon);
			schedule((long) (this.random.nextDouble() * HEARTBEAT_NANOS), (now) -> heartbeat(now, daemon));
		}
		schedule(TICK_NANOS, this::tick);
		schedule(REPORT_NANOS, this::report);
		addCallers(new Random(seed), load);
		while (!this.events.isEmpty()
				&& this.events.peek().atNanos() < (SECONDS + LAST_RETURN_SECONDS) * SECOND_NANOS) {
			final Event event = this.events.poll();
			event.action().run(event.atNanos());
		}
	}

	// The daemons have run for a while and know how long requests take.
	private void serveBefore(FleetAdmission admission) {
		for (final FleetKind kind : KINDS) {
			for (int count = 0; count < SERVED_BEFORE; count++) {
				admission.onServed(0, info(0, "", kind, kind.timeoutMillis(), MEAN_TOKENS),
						(long) (kind.meanSlotMillis() * MILLI_NANOS), 0);
			}
		}
	}

	private RequestInfo info(long nowNanos, String workspace, FleetKind kind, long leftMillis, int tokens) {
		return new RequestInfo(this.nextRequestId++, workspace, TargetKind.MODEL, MODEL, 0, tokens, kind.priority(),
				nowNanos + Math.min(leftMillis, STAY_MILLIS) * MILLI_NANOS * 7 / 10,
				nowNanos + leftMillis * MILLI_NANOS, true, ClaimRequirement.NONE, "", List.of(), 2,
				nowNanos + kind.objectiveMillis() * MILLI_NANOS);
	}

	private void addCallers(Random arrivals, BiFunction<FleetKind, Double, Double> load) {
		for (final FleetKind kind : KINDS) {
			double second = 0;
			while (second < SECONDS) {
				final double perSecond = load.apply(kind, second) * kind.workRatio() * SLOTS * 1_000
						/ kind.meanSlotMillis();
				second += -Math.log(1 - arrivals.nextDouble()) / perSecond;
				// A lognormal size with a mean of 1.
				final double size = Math.exp(arrivals.nextGaussian() * 0.8 - 0.32);
				final boolean large = arrivals.nextDouble() < 0.5;
				final int workspace = large ? arrivals.nextInt(LARGE_WORKSPACES)
						: LARGE_WORKSPACES + arrivals.nextInt(WORKSPACES - LARGE_WORKSPACES);
				final FleetCaller caller = new FleetCaller(kind, "workspace-" + workspace,
						(long) (second * SECOND_NANOS), (int) Math.max(1, MEAN_TOKENS * size),
						(long) (kind.meanSlotMillis() * MILLI_NANOS * size), arrivals.nextDouble() < IMPATIENT_RATIO);
				this.callers.add(caller);
				schedule(caller.firstAttemptNanos, (now) -> arrive(now, caller));
			}
		}
	}

	private void schedule(long atNanos, Action action) {
		this.events.add(new Event(atNanos, this.nextSequence++, action));
	}

	private void arrive(long nowNanos, FleetCaller caller) {
		caller.attempts++;
		final Daemon daemon = this.daemons.get(this.random.nextInt(this.daemons.size()));
		final long leftMillis = caller.kind.timeoutMillis() - (nowNanos - caller.firstAttemptNanos) / MILLI_NANOS;
		final RequestInfo info = daemon.admission.onArrival(nowNanos,
				info(nowNanos, caller.workspace, caller.kind, leftMillis, caller.tokens));
		this.callersByRequest.put(info.requestId(), caller);
		this.arrivedAtNanos.put(info.requestId(), nowNanos);
		final Optional<Refusal> refusal = daemon.admission.admit(nowNanos, info)
			.or(() -> daemon.queue.offer(nowNanos, info)
				.map((refused) -> new Refusal(refused.kind(), daemon.admission.retryAfterMillis(nowNanos, info, 0))));
		if (refusal.isPresent()) {
			refuse(nowNanos, info, refusal.get().retryAfterMillis());
		}
		else {
			startWaiting(nowNanos, daemon);
		}
	}

	private void refuse(long nowNanos, RequestInfo info, long retryAfterMillis) {
		final FleetCaller caller = this.callersByRequest.remove(info.requestId());
		this.refusalWaitsNanos.add(nowNanos - this.arrivedAtNanos.remove(info.requestId()));
		final long leftNanos = info.totalDeadlineNanos() - nowNanos;
		final long delayNanos = caller.impatient ? 50 * MILLI_NANOS
				: Math.min(retryAfterMillis * MILLI_NANOS, leftNanos / 3);
		if (caller.attempts < MAX_ATTEMPTS && delayNanos < leftNanos) {
			schedule(nowNanos + delayNanos, (now) -> arrive(now, caller));
		}
	}

	private void startWaiting(long nowNanos, Daemon daemon) {
		if (daemon.queue.size() == 0) {
			return;
		}
		Optional<RequestInfo> next = daemon.queue.poll(nowNanos, (info) -> this.freeSlots);
		while (next.isPresent()) {
			start(nowNanos, daemon, next.get());
			next = daemon.queue.poll(nowNanos, (info) -> this.freeSlots);
		}
	}

	private void start(long nowNanos, Daemon daemon, RequestInfo info) {
		this.freeSlots--;
		final FleetCaller caller = this.callersByRequest.get(info.requestId());
		schedule(nowNanos + Math.min(FIRST_TOKEN_NANOS, caller.slotNanos),
				(now) -> daemon.queue.onFirstToken(now, info, now - nowNanos));
		schedule(nowNanos + caller.slotNanos, (now) -> {
			this.freeSlots++;
			this.callersByRequest.remove(info.requestId());
			caller.served = true;
			caller.onTime = nowNanos + FIRST_TOKEN_NANOS - caller.firstAttemptNanos <= caller.kind.objectiveMillis()
					* MILLI_NANOS;
			daemon.queue.onEnded(now, info, true, caller.tokens, now - nowNanos);
			daemon.admission.onServed(now, info, now - nowNanos,
					nowNanos - this.arrivedAtNanos.remove(info.requestId()));
			final int offset = this.random.nextInt(this.daemons.size());
			for (int index = 0; index < this.daemons.size() && this.freeSlots > 0; index++) {
				startWaiting(now, this.daemons.get((offset + index) % this.daemons.size()));
			}
		});
	}

	@Override
	public int servingSlots(RequestInfo info) {
		return SLOTS;
	}

	@Override
	public int unusedSlots(RequestInfo info) {
		return this.reportedFreeSlots;
	}

	private void report(long nowNanos) {
		this.reportedFreeSlots = this.freeSlots;
		schedule(nowNanos + REPORT_NANOS, this::report);
	}

	private void tick(long nowNanos) {
		for (final Daemon daemon : this.daemons) {
			for (final RequestInfo info : daemon.queue.expire(nowNanos)) {
				refuse(nowNanos, info, daemon.admission.retryAfterMillis(nowNanos, info, 0));
			}
		}
		schedule(nowNanos + TICK_NANOS, this::tick);
	}

	private void heartbeat(long nowNanos, Daemon sender) {
		final boolean withWorkspaces = this.random.nextInt(HEARTBEATS_PER_WORKSPACES) == 0;
		final DemandEstimate mean = sender.admission.meanDemand(nowNanos);
		final DemandEstimate sent = withWorkspaces ? mean : mean.withoutWorkspaces();
		for (int count = 0; count < FAN_OUT; count++) {
			final Daemon receiver = this.daemons.get(this.random.nextInt(this.daemons.size()));
			if (receiver != sender && this.random.nextDouble() >= LOST_HEARTBEAT_RATIO) {
				receiver.admission.onPeerEstimate(nowNanos, sent);
			}
		}
		schedule(nowNanos + HEARTBEAT_NANOS, (now) -> heartbeat(now, sender));
	}

	/**
	 * Returns the callers who first came after the warm-up.
	 * @return the callers
	 */
	List<FleetCaller> callers() {
		return this.callers.stream()
			.filter((caller) -> caller.firstAttemptNanos >= WARM_UP_SECONDS * SECOND_NANOS)
			.toList();
	}

	List<Long> refusalWaitsNanos() {
		return this.refusalWaitsNanos;
	}

	private interface Action {

		void run(long nowNanos);

	}

	private record Event(long atNanos, long sequence, Action action) {
	}

	private record Daemon(FleetAdmission admission, FairQueue queue) {
	}

}
