package org.pistachioline.bench.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalStandIns;

/**
 * One daemon before one engine, both as processes of their own.
 */
final class RelaySystem implements AutoCloseable {

	/** The caller's headers towards the daemon. */
	static final String[] CALLER = { "Authorization", "Bearer quickstart-key" };

	/** The headers with which a caller goes straight to the engine. */
	static final String[] STRAIGHT = { "Pistachioline-Attempt", "1-1" };

	private static final String MANIFEST = """
			base_version = 0
			[deadlines]
			first_token_seconds = 30
			total_seconds = 600
			[[pools]]
			name = "engines"
			kind = "engine"
			checks_fencing = true
			[[models]]
			name = "bench"
			pool = "engines"
			members = 1
			min_replicas = 1
			max_replicas = 1
			max_concurrent_requests = 4000
			[[workspaces]]
			name = "bench"
			key_sha256 = ["130a82f68d3064ef477880b571abfcf0f1f4aac4f9cd161aea5e6b543d2ee2d8"]
			requests_per_second = 1000000
			tokens_in_flight = 1000000000
			queued_requests = 10000
			models = ["bench"]
			""";

	private final LocalStandIns standIns;

	private final LocalDaemon daemon;

	RelaySystem(int tokenMillis) {
		this.standIns = LocalStandIns.start(List.of("-Xmx2g"), "--engines", "1", "--engines-per-domain", "1",
				"--services", "0", "--batch-size", "4000", "--token-millis", Integer.toString(tokenMillis));
		final List<String> options = new ArrayList<>(LocalDaemon.JVM_OPTIONS);
		final String more = System.getenv("PISTACHIOLINE_BENCH_DAEMON_OPTIONS");
		if (more != null) {
			options.addAll(Arrays.asList(more.split(" ")));
		}
		this.daemon = LocalDaemon.start("daemon-0", "zone-a", this.standIns, options, "");
		this.standIns.publish(MANIFEST);
		this.daemon.awaitServing(1);
	}

	LocalDaemon daemon() {
		return this.daemon;
	}

	String engine() {
		return this.standIns.engines().get(0);
	}

	@Override
	public void close() {
		this.daemon.process().signal("TERM");
		this.daemon.process().awaitExit();
		this.standIns.close();
	}

}
