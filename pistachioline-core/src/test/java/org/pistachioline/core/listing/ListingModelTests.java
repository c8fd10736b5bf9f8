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

	private static final String OTHER = "i-2";

	private static final Step READ_ALL = new Step("read all", ListingModel::readAll);

	private static final Step RESTORE = new Step("restore", (model) -> model.restore(2));

	private static final Step CHANGE_SETTLED = new Step("change settled", ListingModel::changeSettled);

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
	void afterEachOrderOfAFewStepsEachDaemonHoldsAndTellsTheStoresList() {
		final List<Step> before = List.of(writes(INSTANCE), READ_ALL, drops(INSTANCE), writes(OTHER), READ_ALL, RESTORE,
				CHANGE_SETTLED);
		final List<Step> steps = List.of(drops(INSTANCE), RESTORE, CHANGE_SETTLED, looks(0), looks(2), isTold(1, 0),
				isTold(1, 2));
		final int[] order = new int[STEPS];
		do {
			final List<Step> history = new ArrayList<>(before);
			Arrays.stream(order).mapToObj(steps::get).forEach(history::add);
			assertHolds(history);
		}
		while (advance(order, steps.size()));
	}

	/**
	 * Guards against the same in longer histories, with answers that arrive late and
	 * copies of the store that follow each other.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void afterEachStepOfALongHistoryEachDaemonHoldsAndTellsTheStoresList(long seed) {
		final Random random = new Random(seed);
		final List<Step> steps = steps();
		for (int i = 0; i < RANDOM_HISTORIES; i++) {
			assertHolds(random.ints(RANDOM_STEPS, 0, steps.size()).mapToObj(steps::get).toList());
		}
	}

	private static void assertHolds(List<Step> history) {
		final ListingModel model = new ListingModel(DAEMONS);
		final List<String> done = new ArrayList<>();
		for (final Step step : history) {
			step.what().accept(model);
			done.add(step.name());
			assertThat(model.breaches()).as(() -> "after " + done).isEmpty();
		}
		model.calm();
		assertThat(model.wrong()).as(() -> "in calm after " + done).isEmpty();
	}

	private static boolean advance(int[] order, int base) {
		for (int i = order.length - 1; i >= 0; i--) {
			order[i] = (order[i] + 1) % base;
			if (order[i] != 0) {
				return true;
			}
		}
		return false;
	}

	private static List<Step> steps() {
		final List<Step> steps = new ArrayList<>(List.of(writes(INSTANCE), drops(INSTANCE), writes(OTHER), drops(OTHER),
				new Step("write again", (model) -> model.writeAgain(INSTANCE)),
				new Step("write of a former life", (model) -> model.writeOfFormerLife(INSTANCE)), READ_ALL, RESTORE,
				CHANGE_SETTLED, new Step("restore the newest", (model) -> model.restore(1)),
				new Step("forget history", ListingModel::forgetHistory)));
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			addSteps(daemon, steps);
		}
		return steps;
	}

	private static void addSteps(int daemon, List<Step> steps) {
		steps.add(reads(daemon));
		steps.add(looks(daemon));
		steps.add(new Step("hear " + daemon, (model) -> model.hear(daemon)));
		for (int other = 0; other < DAEMONS; other++) {
			if (other != daemon) {
				final int teller = other;
				steps.add(new Step("ask " + daemon + " " + other, (model) -> model.ask(daemon, teller)));
				steps.add(isTold(daemon, teller));
			}
		}
		steps.add(new Step("give up " + daemon, (model) -> model.giveUp(daemon)));
		steps.add(new Step("restart " + daemon, (model) -> model.restart(daemon)));
	}

	private static Step writes(String key) {
		return new Step("write " + key, (model) -> model.write(key));
	}

	private static Step drops(String key) {
		return new Step("drop " + key, (model) -> model.drop(key));
	}

	private static Step reads(int daemon) {
		return new Step("read " + daemon, (model) -> model.read(daemon));
	}

	private static Step looks(int daemon) {
		return new Step("look " + daemon, (model) -> model.look(daemon));
	}

	private static Step isTold(int daemon, int teller) {
		return new Step("tell " + daemon + " by " + teller, (model) -> {
			model.ask(daemon, teller);
			model.hear(daemon);
		});
	}

	/**
	 * One step of a history.
	 *
	 * @param name what is shown of it
	 * @param what what it does
	 */
	private record Step(String name, Consumer<ListingModel> what) {

	}

}
