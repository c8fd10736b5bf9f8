package org.pistachioline.core.listing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What must hold after each step, whoever read, was told, started or came late: a daemon
 * holds the store's list at the offset that it says it knows, and what it tells from one
 * offset on turns the list there into the list at another.
 */
class ListingModelTests {

	private static final int DAEMONS = 3;

	private static final String INSTANCE = "i-1";

	private static final String OTHER_INSTANCE = "i-2";

	private static final Step READ_ALL = new Step("read all", ListingModel::readAll);

	private static final Step RESTORE = new Step("restore", (model) -> model.restore(2));

	private static final Step TOGGLE_EXPIRY_UNRELIABLE = new Step("change settled",
			ListingModel::toggleExpiryUnreliable);

	/** All orders of so many steps are tried. */
	private static final int STEPS = 6;

	private static final int RANDOM_HISTORIES = 4_000;

	private static final int RANDOM_STEPS = 40;

	/**
	 * Guards against lists that stay wrong for good: any order of a few steps after which
	 * daemons at one offset hold different lists, or one is told less than it lacks. Two
	 * daemons look at the store, the third hears of it from them.
	 */
	@Test
	void everyDaemonHoldsAndSendsTheStoresListAfterAnyOrderOfAFewSteps() {
		final List<Step> before = List.of(write(INSTANCE), READ_ALL, remove(INSTANCE), write(OTHER_INSTANCE), READ_ALL,
				RESTORE, TOGGLE_EXPIRY_UNRELIABLE);
		final List<Step> steps = List.of(remove(INSTANCE), RESTORE, TOGGLE_EXPIRY_UNRELIABLE, readSnapshot(0),
				readSnapshot(2), requestAndDeliver(1, 0), requestAndDeliver(1, 2));
		final int[] order = new int[STEPS];
		do {
			final List<Step> history = new ArrayList<>(before);
			Arrays.stream(order).mapToObj(steps::get).forEach(history::add);
			assertInvariants(history);
		}
		while (nextSequence(order, steps.size()));
	}

	/**
	 * Guards against the same in longer histories, with answers that arrive late and
	 * copies of the store that follow each other.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void everyDaemonHoldsAndSendsTheStoresListThroughoutALongRandomHistory(long seed) {
		final Random random = new Random(seed);
		final List<Step> steps = steps();
		for (int i = 0; i < RANDOM_HISTORIES; i++) {
			assertInvariants(random.ints(RANDOM_STEPS, 0, steps.size()).mapToObj(steps::get).toList());
		}
	}

	private static void assertInvariants(List<Step> history) {
		final ListingModel model = new ListingModel(DAEMONS);
		final List<String> done = new ArrayList<>();
		for (final Step step : history) {
			step.action().accept(model);
			done.add(step.name());
			assertThat(model.violations()).as(() -> "after " + done).isEmpty();
		}
		model.converge();
		assertThat(model.daemonsWithWrongList()).as(() -> "in calm after " + done).isEmpty();
	}

	private static boolean nextSequence(int[] order, int base) {
		for (int i = order.length - 1; i >= 0; i--) {
			order[i] = (order[i] + 1) % base;
			if (order[i] != 0) {
				return true;
			}
		}
		return false;
	}

	private static List<Step> steps() {
		final List<Step> steps = new ArrayList<>(List.of(write(INSTANCE), remove(INSTANCE), write(OTHER_INSTANCE),
				remove(OTHER_INSTANCE), new Step("write again", (model) -> model.renew(INSTANCE)),
				new Step("write of a former life", (model) -> model.writeFromEarlierIncarnation(INSTANCE)), READ_ALL,
				RESTORE, TOGGLE_EXPIRY_UNRELIABLE, new Step("restore the newest", (model) -> model.restore(1)),
				new Step("forget history", ListingModel::truncateHistory)));
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			addDaemonSteps(daemon, steps);
		}
		return steps;
	}

	private static void addDaemonSteps(int daemon, List<Step> steps) {
		steps.add(read(daemon));
		steps.add(readSnapshot(daemon));
		steps.add(new Step("hear " + daemon, (model) -> model.deliverResponse(daemon)));
		for (int other = 0; other < DAEMONS; other++) {
			if (other != daemon) {
				final int teller = other;
				steps.add(new Step("ask " + daemon + " " + other, (model) -> model.request(daemon, teller)));
				steps.add(requestAndDeliver(daemon, teller));
			}
		}
		steps.add(new Step("give up " + daemon, (model) -> model.abandonRequest(daemon)));
		steps.add(new Step("restart " + daemon, (model) -> model.restart(daemon)));
	}

	private static Step write(String key) {
		return new Step("write " + key, (model) -> model.write(key));
	}

	private static Step remove(String key) {
		return new Step("drop " + key, (model) -> model.remove(key));
	}

	private static Step read(int daemon) {
		return new Step("read " + daemon, (model) -> model.read(daemon));
	}

	private static Step readSnapshot(int daemon) {
		return new Step("look " + daemon, (model) -> model.readSnapshot(daemon));
	}

	private static Step requestAndDeliver(int daemon, int teller) {
		return new Step("tell " + daemon + " by " + teller, (model) -> {
			model.request(daemon, teller);
			model.deliverResponse(daemon);
		});
	}

	/**
	 * One step of a history.
	 *
	 * @param name what is shown of it
	 * @param action what it does
	 */
	private record Step(String name, Consumer<ListingModel> action) {

	}

}
