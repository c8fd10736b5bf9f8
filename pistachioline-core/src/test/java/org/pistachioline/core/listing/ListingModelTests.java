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
 * Checks the invariants of {@link InstanceListing} after each step of many histories: a
 * daemon holds the store's list at its offset, and a delta that it sends turns the
 * store's list at one offset into the one at another, whatever the order of reads, polls,
 * restarts and restores.
 */
class ListingModelTests {

	private static final int DAEMONS = 3;

	private static final String INSTANCE = "i-1";

	private static final String OTHER_INSTANCE = "i-2";

	private static final Step READ_ALL = new Step("read all", ListingModel::readAll);

	private static final Step RESTORE = new Step("restore", (model) -> model.restore(2));

	private static final Step TOGGLE_EXPIRY_UNRELIABLE = new Step("toggle expiry unreliable",
			ListingModel::toggleExpiryUnreliable);

	/** All sequences of this many steps are tried. */
	private static final int STEPS = 6;

	private static final int RANDOM_HISTORIES = 4_000;

	private static final int RANDOM_STEPS = 40;

	/**
	 * Guards against lists that stay wrong forever. They come about if, after some order
	 * of steps, daemons at the same offset hold different lists, or one is sent less than
	 * it lacks. Two daemons read from the store, and the third is updated by them.
	 */
	@Test
	void everyDaemonHoldsAndSendsTheStoresListAfterAnyOrderOfAFewSteps() {
		final List<Step> setup = List.of(write(INSTANCE), READ_ALL, remove(INSTANCE), write(OTHER_INSTANCE), READ_ALL,
				RESTORE, TOGGLE_EXPIRY_UNRELIABLE);
		final List<Step> steps = List.of(remove(INSTANCE), RESTORE, TOGGLE_EXPIRY_UNRELIABLE, readSnapshot(0),
				readSnapshot(2), requestAndDeliver(1, 0), requestAndDeliver(1, 2));
		final int[] sequence = new int[STEPS];
		do {
			final List<Step> history = new ArrayList<>(setup);
			Arrays.stream(sequence).mapToObj(steps::get).forEach(history::add);
			assertInvariants(history);
		}
		while (nextSequence(sequence, steps.size()));
	}

	/**
	 * Guards against the same failures in longer histories with late responses and
	 * successive restores of the store.
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
		final List<String> performed = new ArrayList<>();
		for (final Step step : history) {
			step.action().accept(model);
			performed.add(step.name());
			assertThat(model.violations()).as(() -> "after " + performed).isEmpty();
		}
		model.converge();
		assertThat(model.daemonsWithWrongList()).as(() -> "converged after " + performed).isEmpty();
	}

	private static boolean nextSequence(int[] sequence, int base) {
		for (int i = sequence.length - 1; i >= 0; i--) {
			sequence[i] = (sequence[i] + 1) % base;
			if (sequence[i] != 0) {
				return true;
			}
		}
		return false;
	}

	private static List<Step> steps() {
		final List<Step> steps = new ArrayList<>(
				List.of(write(INSTANCE), remove(INSTANCE), write(OTHER_INSTANCE), remove(OTHER_INSTANCE),
						new Step("renew", (model) -> model.renew(INSTANCE)),
						new Step("write from earlier incarnation",
								(model) -> model.writeFromEarlierIncarnation(INSTANCE)),
						READ_ALL, RESTORE, TOGGLE_EXPIRY_UNRELIABLE,
						new Step("restore losing one record", (model) -> model.restore(1)),
						new Step("truncate history", ListingModel::truncateHistory)));
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			addDaemonSteps(daemon, steps);
		}
		return steps;
	}

	private static void addDaemonSteps(int daemon, List<Step> steps) {
		steps.add(read(daemon));
		steps.add(readSnapshot(daemon));
		steps.add(new Step("deliver response to " + daemon, (model) -> model.deliverResponse(daemon)));
		for (int other = 0; other < DAEMONS; other++) {
			if (other != daemon) {
				final int responder = other;
				steps.add(new Step("request by " + daemon + " from " + other,
						(model) -> model.request(daemon, responder)));
				steps.add(requestAndDeliver(daemon, responder));
			}
		}
		steps.add(new Step("abandon request of " + daemon, (model) -> model.abandonRequest(daemon)));
		steps.add(new Step("restart " + daemon, (model) -> model.restart(daemon)));
	}

	private static Step write(String key) {
		return new Step("write " + key, (model) -> model.write(key));
	}

	private static Step remove(String key) {
		return new Step("remove " + key, (model) -> model.remove(key));
	}

	private static Step read(int daemon) {
		return new Step("read " + daemon, (model) -> model.read(daemon));
	}

	private static Step readSnapshot(int daemon) {
		return new Step("read snapshot " + daemon, (model) -> model.readSnapshot(daemon));
	}

	private static Step requestAndDeliver(int daemon, int responder) {
		return new Step("update " + daemon + " from " + responder, (model) -> {
			model.request(daemon, responder);
			model.deliverResponse(daemon);
		});
	}

	/**
	 * A step of a history.
	 *
	 * @param name the name shown if a check fails
	 * @param action applies the step to a model
	 */
	private record Step(String name, Consumer<ListingModel> action) {

	}

}
