package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Follows the platform's list of instances on one daemon of many, without input, output
 * or a clock.
 * <p>
 * Made for hundreds of daemons before hundreds of instances that write a heartbeat each
 * second. If each daemon reads all of it, calls of the platform and the processor time of
 * each daemon grow with the fleet. So two daemons read, and the others ask one that knows
 * ({@link ReadingOrder}). A question is kept until there is something to tell, so a
 * change is told on at once, and calm costs two questions a second.
 * <p>
 * Whoever is asked may be dead, cut off from the platform or late. So each answer says
 * how old its word is. A daemon that does not answer, or knows nothing fresh, is left out
 * of the asker's order for some seconds, in which the next one takes its place: where
 * both readers are gone, the next two read within a second or two, long before all have
 * noticed a death. Meanwhile a daemon whose list gets old asks others, drawn by chance,
 * and reads for itself, though rarely enough that all of them together make a hundred
 * reads a second at most.
 */
public final class ListingNode {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** The age of a list of which nothing is known. */
	public static final long NEVER_NANOS = Long.MAX_VALUE;

	/** A change is known half this time later on average, and told on at once. */
	private static final long READ_NANOS = 250 * NANOS_PER_MILLI;

	/** The planner acts on what it reads: a group that broke serves again sooner. */
	private static final long PLANNER_READ_NANOS = 200 * NANOS_PER_MILLI;

	/** A refused or unanswered read is made again after this time, and up to twice it. */
	private static final long RETRY_NANOS = 200 * NANOS_PER_MILLI;

	/** How often a daemon reads that should be told, at least. */
	private static final long ALONE_READ_NANOS = 400 * NANOS_PER_MILLI;

	/** Each daemon's part of the time between two reads of daemons that are not told. */
	private static final long READ_PART_NANOS = 20 * NANOS_PER_MILLI;

	/** How long a question is kept while there is nothing to tell. */
	private static final long KEPT_NANOS = 300 * NANOS_PER_MILLI;

	/**
	 * The time from an answer to the next question bounds what a storm of changes costs.
	 */
	private static final long PAUSE_NANOS = 100 * NANOS_PER_MILLI;

	/** An answer that is not there by then is not waited for. */
	private static final long ANSWER_NANOS = KEPT_NANOS + 300 * NANOS_PER_MILLI;

	/** How long a daemon that did not answer, or knew nothing fresh, is left out. */
	private static final long SUSPECT_NANOS = 5_000 * NANOS_PER_MILLI;

	/** Who lives is looked at this often; the order costs a sort of all names. */
	private static final long ORDER_NANOS = 500 * NANOS_PER_MILLI;

	/**
	 * How many records one answer holds; at some 150 bytes each, and as many drops again,
	 * it fits into a frame.
	 */
	static final int MOST_TOLD = 1_000;

	/** Daemons that may ask this one at once; more are not kept, and ask elsewhere. */
	private static final int MOST_KEPT = 64;

	private final String selfId;

	private final long mostAgeNanos;

	private final UniformRandomProvider random;

	private final InstanceListing listing = new InstanceListing();

	private final Map<String, Kept> kept = new LinkedHashMap<>();

	private final List<ListingAction> actions = new ArrayList<>();

	private ReadingOrder order;

	private long orderedAtNanos;

	private boolean reading;

	private long readAtNanos;

	private long nextReadNanos;

	private boolean wholeWanted = true;

	private final long lifeId;

	private long lastToken;

	private Asked asked;

	private final ListingPortions portions = new ListingPortions();

	private long nextAskNanos;

	private final Map<String, Long> suspectSinceNanos = new HashMap<>();

	private Collection<String> liveIds = List.of();

	/**
	 * Creates a node that knows nothing.
	 * @param selfId this daemon's name
	 * @param mostAgeNanos how old the list may become before this daemon reads for itself
	 * @param nowNanos the monotonic time
	 * @param seed what makes this daemon's draws differ from the others'
	 */
	public ListingNode(String selfId, long mostAgeNanos, long nowNanos, long seed) {
		this.selfId = selfId;
		this.mostAgeNanos = mostAgeNanos;
		this.random = RandomSource.SPLIT_MIX_64.create(seed);
		this.order = ReadingOrder.of(selfId, List.of());
		this.orderedAtNanos = nowNanos - ORDER_NANOS;
		this.nextReadNanos = nowNanos;
		this.nextAskNanos = nowNanos;
		// A late answer to this daemon's former life must match none of its questions.
		this.lifeId = this.random.nextLong() >>> 1;
		this.lastToken = this.lifeId;
	}

	/**
	 * Lets time pass.
	 * @param nowNanos the monotonic time
	 * @param live returns the live daemons that are not leaving; asked twice a second
	 * @param plans whether this daemon plans
	 * @param unsettled whether entries may have lapsed though their instances live
	 * @return what must be done next
	 */
	public List<ListingAction> onTick(long nowNanos, Supplier<? extends Collection<String>> live, boolean plans,
			boolean unsettled) {
		if (nowNanos - this.orderedAtNanos >= ORDER_NANOS) {
			this.orderedAtNanos = nowNanos;
			this.liveIds = live.get();
			putInOrder(nowNanos);
		}
		this.listing.settle(nowNanos, unsettled);
		readWhenDue(nowNanos, plans);
		askWhenDue(nowNanos);
		return next(nowNanos);
	}

	private void putInOrder(long nowNanos) {
		this.suspectSinceNanos.values().removeIf((sinceNanos) -> nowNanos - sinceNanos > SUSPECT_NANOS);
		this.order = ReadingOrder.of(this.selfId,
				this.liveIds.stream().filter((id) -> !this.suspectSinceNanos.containsKey(id)).toList());
	}

	private void readWhenDue(long nowNanos, boolean plans) {
		final boolean due = nowNanos - this.nextReadNanos >= 0;
		if (this.reading || !due || !(plans || this.order.reads() || this.wholeWanted || isOld(nowNanos))) {
			return;
		}
		this.reading = true;
		this.readAtNanos = nowNanos;
		this.nextReadNanos = nowNanos + intervalNanos(plans);
		this.actions.add(this.wholeWanted ? new ListingAction.ReadWhole()
				: new ListingAction.ReadChanges(this.listing.nextOffset()));
	}

	private long intervalNanos(boolean plans) {
		if (plans) {
			return PLANNER_READ_NANOS;
		}
		return this.order.reads() ? READ_NANOS : spread(ownReadNanos());
	}

	private long ownReadNanos() {
		return Math.max(ALONE_READ_NANOS, this.liveIds.size() * READ_PART_NANOS);
	}

	// Spread, so that daemons that lost their source together do not read together.
	private long spread(long nanos) {
		return (long) (nanos * (1 + this.random.nextDouble()) / 2);
	}

	private boolean isOld(long nowNanos) {
		return this.listing.ageNanos(nowNanos) > this.mostAgeNanos;
	}

	private void askWhenDue(long nowNanos) {
		if (this.asked != null && nowNanos - this.asked.atNanos() >= ANSWER_NANOS) {
			suspect(nowNanos, this.asked.daemonId());
			this.asked = null;
			this.portions.clear();
			this.nextAskNanos = nowNanos;
		}
		if (this.asked != null || nowNanos - this.nextAskNanos < 0) {
			return;
		}
		final boolean old = isOld(nowNanos);
		if (this.order.reads() && !old) {
			this.portions.clear();
			return;
		}
		final String daemonId = this.portions.tellerId().orElseGet(() -> choose(old));
		if (!daemonId.isEmpty()) {
			this.lastToken++;
			this.asked = new Asked(daemonId, this.lastToken, nowNanos);
			final long fromOffset = this.listing.known() ? this.listing.nextOffset() : 0;
			this.actions.add(new ListingAction.Ask(daemonId, new ListingQuestion(this.selfId, this.lastToken,
					this.portions.fromOffset(fromOffset), this.portions.restOffset())));
		}
	}

	// Whoever is late itself asks at random: those that stand before it may be as late.
	private String choose(boolean old) {
		return (this.order.reads() || old) ? this.order.other(this.random.nextDouble()) : this.order.asked();
	}

	private void suspect(long nowNanos, String daemonId) {
		this.suspectSinceNanos.put(daemonId, nowNanos);
		putInOrder(nowNanos);
	}

	/**
	 * Takes a question of another daemon.
	 * @param nowNanos the monotonic time
	 * @param question the question
	 * @return what must be done next
	 */
	public List<ListingAction> onQuestion(long nowNanos, ListingQuestion question) {
		if (this.kept.size() < MOST_KEPT || this.kept.containsKey(question.askerId())) {
			this.kept.put(question.askerId(), new Kept(question, nowNanos));
		}
		return next(nowNanos);
	}

	/**
	 * Takes an answer of another daemon.
	 * @param nowNanos the monotonic time
	 * @param answer the answer
	 * @return what must be done next
	 */
	public List<ListingAction> onAnswer(long nowNanos, ListingAnswer answer) {
		// The answer to an earlier question may be older than what is known by now.
		if (this.asked == null || this.asked.token() != answer.token()) {
			return next(nowNanos);
		}
		final long askedAtNanos = this.asked.atNanos();
		this.asked = null;
		this.nextAskNanos = nowNanos + PAUSE_NANOS;
		takeTold(nowNanos, askedAtNanos + answer.heldNanos() - answer.ageNanos(), answer);
		if (answer.ageNanos() > this.mostAgeNanos) {
			suspect(nowNanos, answer.answererId());
		}
		return next(nowNanos);
	}

	private void takeTold(long nowNanos, long toldOfNanos, ListingAnswer answer) {
		if (answer.change().isEmpty()) {
			this.portions.clear();
			this.wholeWanted = true;
			return;
		}
		this.portions.join(answer, answer.change().get()).ifPresent((change) -> {
			this.listing.takeTold(nowNanos, toldOfNanos, change);
			this.wholeWanted = false;
		});
		if (this.portions.restOffset() > 0) {
			this.nextAskNanos = nowNanos;
			askWhenDue(nowNanos);
		}
	}

	/**
	 * Takes what came of a read of the platform's list.
	 * @param nowNanos the monotonic time
	 * @param read what came of it
	 * @param unsettled whether entries may have lapsed though their instances live
	 * @return what must be done next
	 */
	public List<ListingAction> onRead(long nowNanos, ListingRead read, boolean unsettled) {
		this.reading = false;
		switch (read.outcome()) {
			case WHOLE -> {
				this.wholeWanted = false;
				this.listing.takeWhole(nowNanos, this.readAtNanos, read.change().orElseThrow(), unsettled);
			}
			case CHANGES -> this.listing.takeRead(nowNanos, this.readAtNanos, read.change().orElseThrow(), unsettled);
			case HISTORY_GONE -> {
				this.wholeWanted = true;
				this.nextReadNanos = nowNanos;
			}
			case FAILED -> {
				final long retryNanos = this.order.reads() ? 2 * RETRY_NANOS : ownReadNanos();
				this.nextReadNanos = Math.max(this.nextReadNanos, nowNanos + spread(retryNanos));
			}
		}
		return next(nowNanos);
	}

	private List<ListingAction> next(long nowNanos) {
		if (this.listing.takeChanged()) {
			this.actions.add(new ListingAction.Publish(this.listing.instances()));
		}
		answerKept(nowNanos);
		final List<ListingAction> now = List.copyOf(this.actions);
		this.actions.clear();
		return now;
	}

	private void answerKept(long nowNanos) {
		final boolean settled = this.listing.takeSettled();
		final Iterator<Kept> waiting = this.kept.values().iterator();
		while (waiting.hasNext()) {
			final Kept each = waiting.next();
			final long keptNanos = nowNanos - each.sinceNanos();
			if (!this.listing.tellable()) {
				// Others may know it; the asker goes to them when this one is silent.
				if (keptNanos >= ANSWER_NANOS) {
					waiting.remove();
				}
			}
			else if (settled || keptNanos >= KEPT_NANOS || this.listing.hasNewsSince(each.question().fromOffset())) {
				waiting.remove();
				this.actions.add(new ListingAction.Answer(each.question().askerId(),
						answer(nowNanos, keptNanos, each.question())));
			}
		}
	}

	private ListingAnswer answer(long nowNanos, long keptNanos, ListingQuestion question) {
		final Optional<ListingPortion> portion = this.listing.since(question.fromOffset())
			.map((change) -> ListingPortion.of(change, question, MOST_TOLD));
		return new ListingAnswer(this.selfId, question.token(), keptNanos, this.listing.ageNanos(nowNanos),
				portion.map(ListingPortion::change), portion.map(ListingPortion::restOffset).orElse(0L), this.lifeId);
	}

	/**
	 * Returns how old the list is at most.
	 * @param nowNanos the monotonic time
	 * @return the time since the platform was asked for what is known, or
	 * {@link #NEVER_NANOS}
	 */
	public long ageNanos(long nowNanos) {
		return this.listing.ageNanos(nowNanos);
	}

	/**
	 * Returns the first offset that is not known.
	 * @return the offset
	 */
	long nextOffset() {
		return this.listing.nextOffset();
	}

	/**
	 * Returns whether this daemon reads the platform's list for others.
	 * @return whether it does
	 */
	public boolean readsForOthers() {
		return this.order.reads();
	}

	/**
	 * A question that waits for its answer.
	 *
	 * @param daemonId the daemon that was asked
	 * @param token the question's token
	 * @param atNanos when it was asked, by the monotonic clock
	 */
	private record Asked(String daemonId, long token, long atNanos) {

	}

	/**
	 * Another daemon's question that is kept until there is something to tell.
	 *
	 * @param question the question
	 * @param sinceNanos when it came, by the monotonic clock
	 */
	private record Kept(ListingQuestion question, long sinceNanos) {

	}

}
