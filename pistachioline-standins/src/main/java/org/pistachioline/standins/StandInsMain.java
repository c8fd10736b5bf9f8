package org.pistachioline.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.http.Json;

/**
 * Runs the platform's and the targets' stand-ins in one process until it is stopped.
 */
public final class StandInsMain {

	private static final int CLOCK_THREADS = 2;

	private static final int EXIT_USAGE = 2;

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<Integer> logPort = option("log-port", 0);

	private final OptionSpec<Integer> instancesPort = option("instances-port", 0);

	private final OptionSpec<Integer> enginePort = option("engine-port", 0);

	private final OptionSpec<Integer> engines = option("engines", 4);

	private final OptionSpec<Integer> enginesPerDomain = option("engines-per-domain", 4);

	private final OptionSpec<Integer> services = option("services", 1);

	private final OptionSpec<Integer> tokenMillis = option("token-millis", 10);

	private final OptionSpec<Integer> batchSize = option("batch-size", 8);

	private final OptionSpec<Integer> loadMillis = option("load-millis", 300);

	private final OptionSpec<Integer> retentionSeconds = option("retention-seconds", 3600);

	private final OptionSpec<Integer> appendsPerSecond = option("appends-per-second", 300);

	private final OptionSpec<Integer> lagMillis = option("lag-millis", 200);

	private final OptionSpec<Boolean> checksFencing = this.parser.accepts("checks-fencing")
		.withRequiredArg()
		.ofType(Boolean.class)
		.defaultsTo(true);

	private final OptionSpec<String> daemonPeers = this.parser.accepts("daemon-peers")
		.withRequiredArg()
		.ofType(String.class)
		.withValuesSeparatedBy(',');

	private StandInsMain() {
	}

	/**
	 * Runs the stand-ins.
	 * @param args the command line
	 * @throws IOException if the help cannot be printed
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		final StandInsMain main = new StandInsMain();
		try {
			main.run(main.parser.parse(args));
		}
		catch (OptionException ex) {
			System.err.println(ex.getMessage());
			main.parser.printHelpOn(System.err);
			System.exit(EXIT_USAGE);
		}
	}

	private void run(OptionSet options) throws InterruptedException {
		final ActorSystem<Void> system = ActorSystems.create("standins");
		final ScheduledExecutorService clock = Executors.newScheduledThreadPool(CLOCK_THREADS);
		final String log = new LogStandIn(system, options.valueOf(this.retentionSeconds) * 1_000L,
				options.valueOf(this.appendsPerSecond))
			.start(options.valueOf(this.logPort));
		final InstanceListStandIn list = new InstanceListStandIn(system, options.valueOf(this.lagMillis));
		final String instances = list.start(options.valueOf(this.instancesPort));
		final EngineOptions engineOptions = new EngineOptions(options.valueOf(this.checksFencing),
				options.valueOf(this.tokenMillis), EngineOptions.DEFAULT.prefillTokensPerMilli(),
				options.valueOf(this.batchSize), options.valueOf(this.loadMillis),
				EngineOptions.DEFAULT.cachedPrefixes(), EngineOptions.DEFAULT.reportLagMillis());
		final EngineFabric fabric = new EngineFabric();
		final List<String> engineAddresses = new ArrayList<>();
		final int base = options.valueOf(this.enginePort);
		for (int i = 0; i < options.valueOf(this.engines); i++) {
			final String id = "engine-" + i;
			final String address = new EngineStandIn(system, id, engineOptions, fabric, clock)
				.start((base > 0) ? base + i : 0);
			final String domain = "fabric-" + (i / options.valueOf(this.enginesPerDomain));
			list.put(new ListedInstance(id, "engines", address, domain, zoneOf(i), 1, "live"));
			engineAddresses.add(address);
		}
		final List<String> serviceAddresses = new ArrayList<>();
		for (int i = 0; i < options.valueOf(this.services); i++) {
			final String address = new ServiceStandIn(system, "desk").start(0);
			list.put(new ListedInstance("desk-" + i, "desks", address, "", zoneOf(i), 0, "live"));
			serviceAddresses.add(address);
		}
		int daemon = 0;
		for (final String peer : options.valuesOf(this.daemonPeers)) {
			list.put(new ListedInstance("daemon-" + daemon, "pistachioline", peer, "", zoneOf(daemon), 0, "live"));
			daemon++;
		}
		System.out.println(Json.write(
				Map.of("log", log, "instances", instances, "engines", engineAddresses, "services", serviceAddresses)));
		System.out.flush();
		Runtime.getRuntime().addShutdownHook(new Thread(clock::shutdownNow));
		new CountDownLatch(1).await();
	}

	private static String zoneOf(int index) {
		return "zone-" + (char) ('a' + index % 3);
	}

	private OptionSpec<Integer> option(String name, int absent) {
		return this.parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(absent);
	}

}
