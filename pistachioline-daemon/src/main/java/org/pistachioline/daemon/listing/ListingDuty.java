package org.pistachioline.daemon.listing;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.listing.ListReadPolicy;
import org.pistachioline.core.listing.ListingAction;
import org.pistachioline.core.listing.ListingRead;
import org.pistachioline.core.listing.ListingSynchronizer;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.InstanceSource;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Runs the {@link ListingSynchronizer}: exchanges its messages with other daemons, reads
 * the platform's instance list for it and hands on the resulting instances.
 */
public final class ListingDuty implements Lifecycle, DutyHandler<ListingMessage> {

	/** Ample, as each polling daemon has at most one request in flight. */
	private static final int RING_CAPACITY = 1_024;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private final InstanceSource source;

	private final BooleanSupplier isPlanner;

	private final Supplier<Set<String>> liveIds;

	private final BiConsumer<String, PeerFrame> sender;

	private final Consumer<List<ServingInstance>> listener;

	private final long maxAgeNanos;

	private final ListingSynchronizer synchronizer;

	private final Duty<ListingMessage> duty;

	private boolean stale;

	private volatile boolean readsForOthers;

	private volatile long ageMillis;

	private volatile OptionalLong asOf = OptionalLong.empty();

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param selfId this daemon's name
	 * @param maxAgeMillis the age from which on the list is stale and this daemon reads
	 * it itself
	 * @param policy which daemons read the platform's list
	 * @param source the platform's instance list
	 * @param isPlanner returns whether this daemon is the planner
	 * @param liveIds returns the names of the live daemons that are not leaving
	 * @param sender sends a frame to the daemon of the given name
	 * @param listener receives all instances after each change; it must not block
	 */
	public ListingDuty(ActorSystem<?> system, String selfId, long maxAgeMillis, ListReadPolicy policy,
			InstanceSource source, BooleanSupplier isPlanner, Supplier<Set<String>> liveIds,
			BiConsumer<String, PeerFrame> sender, Consumer<List<ServingInstance>> listener) {
		this.source = source;
		this.isPlanner = isPlanner;
		this.liveIds = liveIds;
		this.sender = sender;
		this.listener = listener;
		this.maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(maxAgeMillis);
		final long nowNanos = System.nanoTime();
		this.synchronizer = new ListingSynchronizer(selfId, this.maxAgeNanos, nowNanos, nowNanos ^ selfId.hashCode(),
				policy);
		this.duty = new Duty<>(system, "listing", RING_CAPACITY, TICK_INTERVAL, this);
	}

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
	}

	/**
	 * Handles a frame from another daemon. If the ring is full, the frame is dropped and
	 * the daemon sends another request.
	 * @param frame a request or a response
	 */
	public void onFrame(PeerFrame frame) {
		if (frame.hasListingQuestion()) {
			this.duty.offer(new ListingMessage.RequestReceived(ListingCodec.decode(frame.getListingQuestion())));
		}
		else if (frame.hasListingAnswer()) {
			this.duty.offer(new ListingMessage.ResponseReceived(ListingCodec.decode(frame.getListingAnswer())));
		}
	}

	@Override
	public void onMessage(ListingMessage message) {
		final long nowNanos = System.nanoTime();
		if (message instanceof ListingMessage.RequestReceived requestReceived) {
			execute(this.synchronizer.onRequest(nowNanos, requestReceived.request()));
		}
		else if (message instanceof ListingMessage.ResponseReceived responseReceived) {
			execute(this.synchronizer.onResponse(nowNanos, responseReceived.response()));
		}
		else if (message instanceof ListingMessage.ReadCompleted readCompleted) {
			execute(this.synchronizer.onRead(nowNanos, readCompleted.read(), this.source.isExpiryUnreliable()));
		}
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		execute(this.synchronizer.onTick(nowNanos, this.liveIds, this.isPlanner.getAsBoolean(),
				this.source.isExpiryUnreliable()));
		this.readsForOthers = this.synchronizer.readsForOthers();
		updateAge(nowNanos, this.synchronizer.ageNanos(nowNanos));
	}

	private void updateAge(long nowNanos, long ageNanos) {
		this.ageMillis = TimeUnit.NANOSECONDS.toMillis(ageNanos);
		if (ageNanos == ListingSynchronizer.UNKNOWN_AGE_NANOS) {
			return;
		}
		this.asOf = OptionalLong.of(nowNanos - ageNanos);
		final boolean nowStale = ageNanos > this.maxAgeNanos;
		if (nowStale != this.stale) {
			this.stale = nowStale;
			Events.log(nowStale ? EventId.LISTING_STALE : EventId.LISTING_FRESH, "age_millis", this.ageMillis);
		}
	}

	private void execute(List<ListingAction> actions) {
		for (final ListingAction action : actions) {
			if (action instanceof ListingAction.SendRequest sendRequest) {
				this.sender.accept(sendRequest.daemonId(), ListingCodec.encode(sendRequest.request()));
			}
			else if (action instanceof ListingAction.SendResponse sendResponse) {
				this.sender.accept(sendResponse.daemonId(), ListingCodec.encode(sendResponse.response()));
			}
			else if (action instanceof ListingAction.Publish publish) {
				this.listener.accept(publish.instances());
			}
			else if (action instanceof ListingAction.ReadSnapshot) {
				this.source.readSnapshot().thenAccept(this::onRead);
			}
			else if (action instanceof ListingAction.ReadDelta readDelta) {
				this.source.readDelta(readDelta.fromOffset()).thenAccept(this::onRead);
			}
		}
	}

	private void onRead(ListingRead read) {
		this.duty.put(new ListingMessage.ReadCompleted(read));
	}

	/**
	 * Returns the upper bound of the list's age.
	 * @return the time since the platform read that the list is based on, in milliseconds
	 */
	public long ageMillis() {
		return this.ageMillis;
	}

	/**
	 * Returns the time as of which the list is known. The listener has received the list
	 * before that.
	 * @return the monotonic time in nanoseconds; empty if there is no list
	 */
	public OptionalLong asOf() {
		return this.asOf;
	}

	/**
	 * Returns whether this daemon reads the platform's list on behalf of others.
	 * @return whether it does
	 */
	public boolean readsForOthers() {
		return this.readsForOthers;
	}

}
