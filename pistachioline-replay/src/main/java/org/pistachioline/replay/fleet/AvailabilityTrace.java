package org.pistachioline.replay.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A trace of instances that go and come back, made from a seed: mostly absences of
 * seconds, some of minutes, a few of hours, as restarts, reboots and repairs take.
 */
public final class AvailabilityTrace {

	private static final double SHORT_SHARE = 0.6;

	private static final double MIDDLE_SHARE = 0.9;

	private static final long SHORT_MILLIS = 30_000;

	private static final long MIDDLE_MILLIS = 600_000;

	private static final long LONG_MILLIS = 3 * 3_600_000L;

	private AvailabilityTrace() {
	}

	/**
	 * Makes a trace.
	 * @param instanceIds the instances
	 * @param millis how long it is
	 * @param meanGapMillis the mean time between two losses in the whole fleet
	 * @param seed the seed
	 * @return the events in order of time
	 */
	public static List<InstanceEvent> of(List<String> instanceIds, long millis, long meanGapMillis, long seed) {
		final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		final List<InstanceEvent> events = new ArrayList<>();
		final long[] backAtMillis = new long[instanceIds.size()];
		long atMillis = 0;
		while (atMillis < millis) {
			atMillis += (long) (-Math.log(1 - random.nextDouble()) * meanGapMillis) + 1;
			final int instance = random.nextInt(instanceIds.size());
			final long absentMillis = absence(random);
			if (backAtMillis[instance] < atMillis) {
				backAtMillis[instance] = atMillis + absentMillis;
				events.add(new InstanceEvent(atMillis, instanceIds.get(instance), InstanceEvent.Kind.DARK));
				events
					.add(new InstanceEvent(backAtMillis[instance], instanceIds.get(instance), InstanceEvent.Kind.BACK));
			}
		}
		events.removeIf((event) -> event.atMillis() >= millis);
		events.sort(Comparator.comparingLong(InstanceEvent::atMillis));
		return List.copyOf(events);
	}

	private static long absence(UniformRandomProvider random) {
		final double kind = random.nextDouble();
		final double part = random.nextDouble();
		if (kind < SHORT_SHARE) {
			return 2_000 + (long) (part * SHORT_MILLIS);
		}
		return (kind < MIDDLE_SHARE) ? SHORT_MILLIS + (long) (part * MIDDLE_MILLIS)
				: MIDDLE_MILLIS + (long) (part * LONG_MILLIS);
	}

}
