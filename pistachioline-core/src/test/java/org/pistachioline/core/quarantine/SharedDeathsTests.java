package org.pistachioline.core.quarantine;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SharedDeathsTests {

	private static final int SEEDS = 5;

	private static final int TARGETS = 46;

	private static final double PER_SECOND = TARGETS * 3;

	/** What the users allow later than three seconds after the third target has ended. */
	private static final int MOST_LATE_ARRIVALS = 3;

	/** They tell what the request does. */
	private static final int TELLING_DEATHS = 3;

	/** How many times copies may come before the first has crashed its target. */
	private static final int MOST_ON_THEIR_WAY = 3;

	private static CrashWorld world(long seed, int daemons) {
		final CrashWorld world = new CrashWorld(seed, daemons, TARGETS, SharedDeaths::new);
		world.traffic(PER_SECOND);
		world.run(3);
		return world;
	}

	private static int mostDeaths(int copies) {
		return TELLING_DEATHS + MOST_ON_THEIR_WAY * copies;
	}

	private static void assertKept(long seed, CrashWorld world, int copies, String... killers) {
		for (final String killer : killers) {
			assertThat(world.deaths(killer)).as("seed " + seed).isBetween(1, mostDeaths(copies));
			assertThat(world.lateArrivals(killer)).as("seed " + seed).isLessThanOrEqualTo(MOST_LATE_ARRIVALS);
		}
		assertThat(world.barredInnocents).as("seed " + seed).isEmpty();
	}

	/**
	 * Guards against a request that crashes one target after the other, two with each
	 * copy, as long as its callers send it.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "8, 1", "8, 3", "95, 1", "95, 3" })
	void aRequestThatCrashesTargetsIsSoonSentNowhere(int daemons, int copies) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, daemons);
			world.killer("a", 3, copies, 12);
			world.run(15);
			assertKept(seed, world, copies, "a");
		}
	}

	/**
	 * Guards against two such requests whose deaths are taken for each other's, or for
	 * those of what ran beside them.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8 })
	void twoSuchRequestsAtOnceAreBothFound(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, daemons);
			world.killer("a", 4, 1, 15);
			world.killer("b", 4, 2, 15);
			world.run(20);
			assertKept(seed, world, 2, "a", "b");
		}
	}

	/**
	 * Guards against callers who are refused for good since targets that died for other
	 * reasons were running their requests.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void noRequestIsBarredWhileTargetsDieForOtherReasons(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, daemons);
			world.popular("popular", 10);
			world.plainCrashes(0.7);
			world.run(30);
			assertThat(world.barredInnocents).as("seed " + seed).isEmpty();
			assertThat((double) world.innocentsServed / world.innocents).as("seed " + seed).isGreaterThan(0.9);
		}
	}

	/**
	 * Guards against callers who are refused for good since rack after rack went under
	 * their requests.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 8, 95 })
	void racksThatGoBarNoRequest(int daemons) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, daemons);
			for (int rack = 0; rack < 4; rack++) {
				world.rackGoes(10 * rack, 10);
				world.run(0.2);
			}
			world.run(5);
			assertThat(world.barredInnocents).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a request that met three such deaths by chance, one right after the
	 * other, and is refused for good.
	 */
	@Test
	void threeDeathsBarNothingWhileOtherTargetsDieWithoutIt() {
		final CrashWorld world = new CrashWorld(16, 1, TARGETS, SharedDeaths::new);
		world.traffic(PER_SECOND);
		world.plainCrashes(0.7);
		world.popular("popular", 10);
		for (int second = 0; second < 30; second++) {
			world.run(1);
			assertThat(world.daemon(0).core().targetCrashes().quarantined()).isEmpty();
		}
	}

	/**
	 * Guards against callers who are refused for good since connections to targets that
	 * live on are reset again and again.
	 */
	@Test
	void noRequestIsBarredWhileTargetsResetConnections() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, 8);
			world.resets = 0.4;
			world.popular("popular", 10);
			world.run(20);
			assertThat(world.barredInnocents).as("seed " + seed).isEmpty();
		}
	}

	/**
	 * Guards against a request that is found out only as long as all frames between
	 * daemons arrive.
	 */
	@Test
	void heartbeatsMakeUpForLostNotices() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, 8);
			world.lostFrames = 0.5;
			world.killer("a", 3, 1, 15);
			world.run(20);
			assertKept(seed, world, 1, "a");
		}
	}

	/**
	 * Guards against a daemon that has been cut off from the others, or has just started,
	 * and crashes targets anew.
	 */
	@Test
	void aDaemonThatComesBackSoonKnowsWhatTheOthersKnow() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, 8);
			world.cutOff.add("daemon-0");
			world.killer("a", 3, 1, 2);
			world.run(6);
			world.cutOff.clear();
			world.daemon(1).stop();
			world.run(1);
			world.daemon(1).start();
			world.run(3);
			assertThat(world.daemons()).as("seed " + seed)
				.allMatch((
						daemon) -> daemon.core().targetCrashes().quarantined().equals(Set.of(CrashWorld.KILLER + "a")));
		}
	}

	/**
	 * Guards against a request that takes more targets with each daemon that restarts.
	 */
	@Test
	void restartsInTurnForgetNothing() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, 8);
			world.killer("a", 3, 1, 30);
			world.run(3);
			for (int turn = 0; turn < 16; turn++) {
				world.daemon(turn % 8).stop();
				world.run(0.7);
				world.daemon(turn % 8).start();
				world.run(0.7);
			}
			assertKept(seed, world, 1, "a");
		}
	}

	/**
	 * Guards against a request that is taken for harmless after all daemons have died and
	 * none remembers it, and reaches many targets anew, at whatever rate it comes.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 3, 0.4 })
	void afterTheDeathOfAllDaemonsItIsFoundAnew(double perSecond) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			final CrashWorld world = world(seed, 8);
			world.killer("a", perSecond, 1, 60);
			world.run(20);
			world.daemons().forEach(CrashWorldDaemon::stop);
			world.run(1);
			world.daemons().forEach(CrashWorldDaemon::start);
			world.run(30);
			assertThat(world.deaths("a")).as("seed " + seed).isBetween(1, 2 * mostDeaths(1));
			assertThat(world.lateArrivals("a")).as("seed " + seed).isLessThanOrEqualTo(MOST_LATE_ARRIVALS);
			assertThat(world.barredInnocents).as("seed " + seed).isEmpty();
		}
	}

}
