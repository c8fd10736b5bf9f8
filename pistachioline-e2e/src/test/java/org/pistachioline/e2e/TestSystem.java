package org.pistachioline.e2e;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;
import org.pistachioline.standins.local.LocalStandIns;

/**
 * Daemons before a small fabric domain, ready to serve one model and one plain service.
 */
final class TestSystem implements AutoCloseable {

	static final String KEY = "Bearer quickstart-key";

	/** One model on groups of two, with four engines: room for one more group. */
	static final String MANIFEST = """
			base_version = %d
			[deadlines]
			first_token_seconds = 30
			total_seconds = 120
			[[pools]]
			name = "engines"
			kind = "engine"
			checks_fencing = true
			[[pools]]
			name = "desks"
			kind = "service"
			[[models]]
			name = "sign-copy"
			pool = "engines"
			members = 2
			min_replicas = 1
			max_replicas = 1
			max_concurrent_requests = 32
			[[services]]
			name = "order-desk"
			pool = "desks"
			timeout_seconds = 30
			[[services.operations]]
			method = "POST"
			path_prefix = "/bookings"
			idempotent = false
			key_lifetime_seconds = 600
			[[workspaces]]
			name = "atlanta"
			key_sha256 = ["130a82f68d3064ef477880b571abfcf0f1f4aac4f9cd161aea5e6b543d2ee2d8"]
			requests_per_second = 1000
			tokens_in_flight = 100000
			queued_requests = 100
			models = ["sign-copy"]
			services = ["order-desk"]
			""";

	/** Short lives do not repay the optimizing compiler. */
	static final List<String> JVM_OPTIONS = List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

	private static final String[] ZONES = { "zone-a", "zone-b", "zone-c" };

	private final LocalStandIns standIns;

	private final List<LocalDaemon> daemons = new ArrayList<>();

	private int started;

	TestSystem(int daemons, String moreSettings) {
		this.standIns = LocalStandIns.start(JVM_OPTIONS, "--engines", "4", "--engines-per-domain", "4", "--services",
				"1", "--token-millis", "10", "--load-millis", "50", "--lag-millis", "50", "--batch-size", "32");
		for (int i = 0; i < daemons; i++) {
			this.daemons.add(launch(moreSettings));
		}
		this.daemons.forEach(this.standIns::list);
		publish(0);
		this.daemons.forEach((daemon) -> daemon.awaitServing(1));
		this.daemons.forEach(LocalDaemon::awaitReady);
	}

	private LocalDaemon launch(String moreSettings) {
		final int index = this.started++;
		return LocalDaemon.start("daemon-" + index, ZONES[index % ZONES.length], this.standIns, LocalDaemon.JVM_OPTIONS,
				moreSettings);
	}

	/**
	 * Starts one more daemon and waits until it serves.
	 * @return the daemon
	 */
	LocalDaemon add() {
		final LocalDaemon daemon = launch("");
		this.daemons.add(daemon);
		this.standIns.list(daemon);
		daemon.awaitReady();
		daemon.awaitServing(1);
		return daemon;
	}

	void publish(int baseVersion) {
		this.standIns.publish(MANIFEST.formatted(baseVersion));
	}

	LocalDaemon daemon(int index) {
		return this.daemons.get(index);
	}

	List<LocalDaemon> daemons() {
		return Collections.unmodifiableList(this.daemons);
	}

	LocalStandIns standIns() {
		return this.standIns;
	}

	HttpResponse<String> book(LocalDaemon daemon, String idempotencyKey) {
		return LocalHttp.post(daemon.callers(), "/services/order-desk/bookings", "{\"slot\":\"tuesday\"}",
				"Authorization", KEY, "Idempotency-Key", idempotencyKey);
	}

	/**
	 * Returns how often the plain service ran a booking.
	 * @param idempotencyKey the booking's key
	 * @return the number of runs
	 */
	int runs(String idempotencyKey) {
		final JsonNode runs = Json
			.tree(LocalHttp.get(this.standIns.services().get(0), "/runs").body().getBytes(StandardCharsets.UTF_8));
		return runs.path(idempotencyKey).asInt();
	}

	void serviceDelay(long delayMillis) {
		LocalHttp.post(this.standIns.services().get(0), "/faults",
				"{\"delay_millis\":" + delayMillis + ",\"lose_answers\":0}");
	}

	void logOutage(boolean outage) {
		LocalHttp.post(this.standIns.log(), "/faults", "{\"outage\":" + outage + "}");
	}

	void awaitInForce(long version) {
		for (final LocalDaemon daemon : this.daemons) {
			LocalHttp.await("version " + version + " in force on " + daemon.id(),
					() -> daemon.dump().path("config").path("version").asLong() >= version);
		}
	}

	@Override
	public void close() {
		this.daemons.forEach(LocalDaemon::close);
		this.standIns.close();
	}

}
