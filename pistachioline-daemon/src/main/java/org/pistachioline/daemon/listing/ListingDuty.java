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
import org.pistachioline.core.listing.ListingNode;
import org.pistachioline.core.listing.ListingRead;
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

	private static final Duration TICK = Duration.ofMillis(50);

	private final InstanceSource source;

	private final BooleanSupplier plans;

	private final Supplier<Set<String>> liveIds;

	private final BiConsumer<String, PeerFrame> sender;

	private final Consumer<List<ServingInstance>> receiver;

	private final long mostAgeNanos;

	private final ListingNode node;

	private final Duty<ListingMessage> duty;

	private boolean old;

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
		this.plans = plans;
		this.liveIds = liveIds;
		this.sender = sender;
		this.receiver = receiver;
		this.mostAgeNanos = TimeUnit.MILLISECONDS.toNanos(mostAgeMillis);
		final long nowNanos = System.nanoTime();
		this.node = new ListingNode(selfId, this.mostAgeNanos, nowNanos, nowNanos ^ selfId.hashCode());
		this.duty = new Duty<>(system, "listing", RING_CAPACITY, TICK, this);
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
			this.duty.offer(new ListingMessage.Questioned(ListingCodec.decode(frame.getListingQuestion())));
		}
		else if (frame.hasListingAnswer()) {
			this.duty.offer(new ListingMessage.Answered(ListingCodec.decode(frame.getListingAnswer())));
		}
	}

	@Override
	public void onMessage(ListingMessage message) {
		final long nowNanos = System.nanoTime();
		if (message instanceof ListingMessage.Questioned questioned) {
			carryOut(this.node.onQuestion(nowNanos, questioned.question()));
		}
		else if (message instanceof ListingMessage.Answered answered) {
			carryOut(this.node.onAnswer(nowNanos, answered.answer()));
		}
		else if (message instanceof ListingMessage.Read read) {
			carryOut(this.node.onRead(nowNanos, read.read(), this.source.unsettled()));
		}
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		carryOut(this.node.onTick(nowNanos, this.liveIds, this.plans.getAsBoolean(), this.source.unsettled()));
		this.readsForOthers = this.node.readsForOthers();
		noteAge(this.node.ageNanos(nowNanos));
	}

	private void noteAge(long ageNanos) {
		this.ageMillis = TimeUnit.NANOSECONDS.toMillis(ageNanos);
		if (ageNanos == ListingNode.NEVER_NANOS) {
			return;
		}
		final boolean now = ageNanos > this.mostAgeNanos;
		if (now != this.old) {
			this.old = now;
			Events.log(now ? EventId.LISTING_STALE : EventId.LISTING_FRESH, "age_millis", this.ageMillis);
		}
	}

	private void carryOut(List<ListingAction> actions) {
		for (final ListingAction action : actions) {
			if (action instanceof ListingAction.Ask ask) {
				this.sender.accept(ask.daemonId(), ListingCodec.encode(ask.question()));
			}
			else if (action instanceof ListingAction.Answer answer) {
				this.sender.accept(answer.daemonId(), ListingCodec.encode(answer.answer()));
			}
			else if (action instanceof ListingAction.Publish publish) {
				this.receiver.accept(publish.instances());
			}
			else if (action instanceof ListingAction.ReadWhole) {
				this.source.whole().thenAccept(this::onRead);
			}
			else if (action instanceof ListingAction.ReadChanges read) {
				this.source.changes(read.fromOffset()).thenAccept(this::onRead);
			}
		}
	}

	private void onRead(ListingRead read) {
		this.duty.put(new ListingMessage.Read(read));
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
