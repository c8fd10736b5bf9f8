package org.pistachioline.daemon.listing;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.event.EventId;
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
 * Follows the platform's list of instances: reads it, or asks another daemon.
 */
public final class ListingDuty implements Lifecycle, DutyHandler<ListingMessage> {

	/** Each daemon that asks has one question on its way. */
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

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param selfId this daemon's name
	 * @param mostAgeMillis how old the list may become before this daemon reads for
	 * itself
	 * @param source the platform's list
	 * @param plans whether this daemon plans
	 * @param liveIds the live daemons that are not leaving
	 * @param sender sends a frame to a daemon
	 * @param receiver takes the whole list after each change; it must not block
	 */
	public ListingDuty(ActorSystem<?> system, String selfId, long mostAgeMillis, InstanceSource source,
			BooleanSupplier plans, Supplier<Set<String>> liveIds, BiConsumer<String, PeerFrame> sender,
			Consumer<List<ServingInstance>> receiver) {
		this.source = source;
		this.isPlanner = plans;
		this.liveIds = liveIds;
		this.sender = sender;
		this.listener = receiver;
		this.maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(mostAgeMillis);
		final long nowNanos = System.nanoTime();
		this.synchronizer = new ListingSynchronizer(selfId, this.maxAgeNanos, nowNanos, nowNanos ^ selfId.hashCode());
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
	 * Takes a frame of another daemon; where the ring is full it is dropped, and the
	 * daemon asks again.
	 * @param frame a question or an answer
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
		if (message instanceof ListingMessage.RequestReceived questioned) {
			execute(this.synchronizer.onRequest(nowNanos, questioned.request()));
		}
		else if (message instanceof ListingMessage.ResponseReceived answered) {
			execute(this.synchronizer.onResponse(nowNanos, answered.response()));
		}
		else if (message instanceof ListingMessage.ReadCompleted read) {
			execute(this.synchronizer.onRead(nowNanos, read.read(), this.source.isExpiryUnreliable()));
		}
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		execute(this.synchronizer.onTick(nowNanos, this.liveIds, this.isPlanner.getAsBoolean(),
				this.source.isExpiryUnreliable()));
		this.readsForOthers = this.synchronizer.readsForOthers();
		updateAge(this.synchronizer.ageNanos(nowNanos));
	}

	private void updateAge(long ageNanos) {
		this.ageMillis = TimeUnit.NANOSECONDS.toMillis(ageNanos);
		if (ageNanos == ListingSynchronizer.UNKNOWN_AGE_NANOS) {
			return;
		}
		final boolean now = ageNanos > this.maxAgeNanos;
		if (now != this.stale) {
			this.stale = now;
			Events.log(now ? EventId.LISTING_STALE : EventId.LISTING_FRESH, "age_millis", this.ageMillis);
		}
	}

	private void execute(List<ListingAction> actions) {
		for (final ListingAction action : actions) {
			if (action instanceof ListingAction.SendRequest ask) {
				this.sender.accept(ask.daemonId(), ListingCodec.encode(ask.request()));
			}
			else if (action instanceof ListingAction.SendResponse answer) {
				this.sender.accept(answer.daemonId(), ListingCodec.encode(answer.response()));
			}
			else if (action instanceof ListingAction.Publish publish) {
				this.listener.accept(publish.instances());
			}
			else if (action instanceof ListingAction.ReadSnapshot) {
				this.source.readSnapshot().thenAccept(this::onRead);
			}
			else if (action instanceof ListingAction.ReadDelta read) {
				this.source.readDelta(read.fromOffset()).thenAccept(this::onRead);
			}
		}
	}

	private void onRead(ListingRead read) {
		this.duty.put(new ListingMessage.ReadCompleted(read));
	}

	/**
	 * Returns how old the list is at most.
	 * @return the time since the platform was asked for what is known, in milliseconds
	 */
	public long ageMillis() {
		return this.ageMillis;
	}

	/**
	 * Returns whether this daemon reads the list for others.
	 * @return whether it does
	 */
	public boolean readsForOthers() {
		return this.readsForOthers;
	}

}
