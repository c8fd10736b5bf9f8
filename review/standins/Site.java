import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment on loopback: the store, replicas, daemons, and the record of what happened. */
final class Site implements AutoCloseable {

	static final String KEY = "shop-key";

	final Store store = new Store();

	final List<Replica> engines = new ArrayList<>();

	final List<Replica> desks = new ArrayList<>();

	final List<Daemon> daemons = new ArrayList<>();

	final Path folder = Files.createTempDirectory("review");

	private final PrintWriter record;

	private final long begunAtNanos = System.nanoTime();

	Site(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), true);
		Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
	}

	synchronized void note(String line) {
		this.record.printf("%8.3f %s%n", (System.nanoTime() - this.begunAtNanos) / 1e9, line);
	}

	void say(String line) {
		note(line);
		System.out.println(line);
	}

	/** Writes the configuration: the routes and limits of the site file's sheet, with other names. */
	void configure(int version) {
		this.store.put("keyed.op", "config", "{\"Version\":" + version + ",\"Routes\":["
				+ "{\"Name\":\"copy\",\"Hostname\":\"shop.example\",\"PathPrefix\":\"/copy/\",\"RouteType\":\"streaming\",\"TimeoutMs\":8000,\"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"pool\",\"MaxAttempts\":2,\"Public\":false,\"SessionAffinity\":true,\"StreamResume\":true,\"GapTargetMs\":300},"
				+ "{\"Name\":\"book\",\"Hostname\":\"shop.example\",\"PathPrefix\":\"/book/\",\"RouteType\":\"unsafe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":121,\"Priority\":1,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false},"
				+ "{\"Name\":\"status\",\"Hostname\":\"shop.example\",\"PathPrefix\":\"/status/\",\"RouteType\":\"safe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":121,\"Priority\":1,\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false}"
				+ "],\"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/healthz\",\"MaxConnections\":358,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":12,\"KvCapacity\":1312941,\"Stride\":5,\"Models\":[{\"Name\":\"small\",\"size\":2,\"Share\":1,\"pace\":1,\"LoadS\":12,\"WarmS\":1.1}],\"step_ms\":7.8,\"LoadsPerS\":5.0,\"loads_at_once\":7,\"CacheSlots\":1,\"far_x\":4.0,\"FormMs\":300}},"
				+ "{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}],"
				+ "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"shop\",\"ApiKeys\":[\""
				+ KEY + "\"],\"Priority\":1}]}");
	}

	void addEngines(int count) throws IOException {
		for (int i = 0; i < count; i++) {
			this.engines.add(new Replica(this.store, "i-e" + i, "pool", "dom-" + i / 10, 12, this::note));
		}
	}

	void addDesks(int count) throws IOException {
		for (int i = 0; i < count; i++) {
			this.desks.add(new Replica(this.store, "i-d" + i, "desk", "", 6, this::note));
		}
	}

	void startDaemons(int count) throws IOException {
		final List<String> seeds = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			this.daemons.add(new Daemon(this.folder, "edge-" + i, "127.0.0." + (i + 2), "zone-a", this.store.address(), seeds, true));
			seeds.add(this.daemons.get(i).control);
		}
		for (final Daemon daemon : this.daemons) {
			daemon.start();
			note("start " + daemon.name);
		}
	}

	/** Waits until requests on both kinds of services are served at each daemon. */
	boolean awaitServing(int seconds) throws InterruptedException {
		final long until = System.nanoTime() + seconds * 1_000_000_000L;
		for (final Daemon daemon : this.daemons) {
			while (!(isServed(daemon, "/status/warm", "") && (this.engines.isEmpty() || isServed(daemon, "/copy/warm", STREAM)))) {
				if (System.nanoTime() - until > 0) {
					say("not serving: " + daemon.name);
					return false;
				}
				Thread.sleep(300);
			}
		}
		return true;
	}

	static final String AUTH = "Authorization: Bearer " + KEY + "\r\n";

	static final String STREAM = "Pistachioline-Model-Name: small\r\nPistachioline-Token-Usage: 714,170\r\n";

	private int warm;

	private boolean isServed(Daemon daemon, String path, String headers) {
		try (Client client = new Client(daemon.frontend)) {
			return client.send(headers.isEmpty() ? "GET" : "POST", path, "warm" + this.warm++, AUTH + headers, new byte[0], 6_000).status() == 200;
		}
	}

	private void endDaemons() {
		for (final Daemon daemon : this.daemons) {
			try {
				daemon.end();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	@Override
	public void close() throws IOException {
		endDaemons();
		try (Stream<Path> files = Files.list(this.folder)) {
			for (final Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

}
