package org.pistachioline.bench.control;

import java.util.ArrayList;
import java.util.List;

import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalStandIns;

/**
 * A number of daemons before a number of replicas, each process on its own.
 */
final class ControlSystem implements AutoCloseable {

	static final int MEMBERS = 2;

	private static final String MANIFEST = """
			base_version = %d
			[deadlines]
			first_token_seconds = %d
			[[pools]]
			name = "engines"
			kind = "engine"
			checks_fencing = true
			weight_store_loads_per_minute = 6000
			[[models]]
			name = "bench"
			pool = "engines"
			members = %d
			min_replicas = %d
			max_replicas = %d
			""";

	private static final String WORKSPACE = """
			[[workspaces]]
			name = "workspace-%d"
			key_sha256 = ["%064x"]
			requests_per_second = 100
			tokens_in_flight = 100000
			queued_requests = 100
			models = ["bench"]
			""";

	private final int replicas;

	private final int workspaces;

	private final LocalStandIns standIns;

	private final List<LocalDaemon> daemons = new ArrayList<>();

	private int version;

	ControlSystem(int daemons, int replicas, int spareReplicas, int workspaces) {
		this.replicas = replicas;
		this.workspaces = workspaces;
		final int perDomain = MEMBERS * Math.min(replicas + spareReplicas, 8);
		this.standIns = LocalStandIns.start(List.of("-Xmx1g"), "--engines",
				Integer.toString(MEMBERS * (replicas + spareReplicas)), "--engines-per-domain",
				Integer.toString(perDomain), "--services", "0", "--load-millis", "200", "--token-millis", "50");
		for (int i = 0; i < daemons; i++) {
			this.daemons.add(LocalDaemon.start("daemon-" + i, "zone-" + (char) ('a' + i % 3), this.standIns,
					LocalDaemon.JVM_OPTIONS, ""));
		}
		this.daemons.forEach(this.standIns::list);
		publish();
		this.daemons.forEach((daemon) -> daemon.awaitServing(replicas));
	}

	/**
	 * Publishes the next configuration.
	 * @return its version
	 */
	int publish() {
		final StringBuilder manifest = new StringBuilder(
				MANIFEST.formatted(this.version, 10 + this.version % 2, MEMBERS, this.replicas, this.replicas));
		for (int i = 0; i < this.workspaces; i++) {
			manifest.append(WORKSPACE.formatted(i, i + 1));
		}
		this.standIns.publish(manifest.toString());
		this.version++;
		return this.version;
	}

	List<LocalDaemon> daemons() {
		return this.daemons;
	}

	LocalStandIns standIns() {
		return this.standIns;
	}

	@Override
	public void close() {
		this.daemons.forEach(LocalDaemon::close);
		this.standIns.close();
	}

}
