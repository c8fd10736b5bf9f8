package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.Map;

/**
 * Numbers the orders of one daemon, so that an instance rejects an order that arrives
 * after a newer one.
 * <p>
 * An order without an answer may be executed seconds later. If all orders of a term
 * carried the same token, a late join would bring an instance back into a group that it
 * has left since by order. Here the tokens for each address rise with every order. The
 * term forms the higher bits, so that the orders of a later planner are above all those
 * of an earlier one. The numbers continue when the lease is reacquired in the same term.
 */
public final class FencingTokens {

	/** Orders beyond 2^20 to one address in one term share the highest token. */
	private static final int COUNTER_BITS = 20;

	private static final long MAX_COUNT = (1L << COUNTER_BITS) - 1;

	private final Map<String, Long> lastByAddress = new HashMap<>();

	/**
	 * Returns the token of the next order. One that stages weights voids no other, and
	 * may arrive beside the one that was sent just before it, so it carries the same
	 * token.
	 * @param term the term of the lease under which the order is sent
	 * @param order the order
	 * @return a token that is not below any earlier one for the address, and above them
	 * if the order concerns a group
	 */
	public long next(long term, ReplicaOrder order) {
		final String address = order.instance().address();
		if (order instanceof ReplicaOrder.Stage) {
			return Math.max(term << COUNTER_BITS, this.lastByAddress.getOrDefault(address, 0L));
		}
		final long first = (term << COUNTER_BITS) + 1;
		return this.lastByAddress.merge(address, first,
				(last, unused) -> Math.max(first, Math.min(last + 1, (term << COUNTER_BITS) + MAX_COUNT)));
	}

	/**
	 * Interprets the result of an order. An instance that has seen a newer order of the
	 * same daemon rejects an older one in the same way as those of an earlier planner.
	 * @param address the address of the instance
	 * @param token the token of the order
	 * @param outcome the result as the instance stated it
	 * @return the result
	 */
	public OrderOutcome interpret(String address, long token, OrderOutcome outcome) {
		final boolean newest = token >= this.lastByAddress.getOrDefault(address, token);
		return (outcome == OrderOutcome.FENCED && !newest) ? OrderOutcome.SUPERSEDED : outcome;
	}

	/**
	 * Returns the term of a token.
	 * @param token the token
	 * @return the term of the lease under which its order was sent
	 */
	public static long termOf(long token) {
		return token >> COUNTER_BITS;
	}

}
