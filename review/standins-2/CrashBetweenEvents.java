import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica crashes between two events of streams that have neither a length nor chunks. */
final class CrashBetweenEvents {

	private static final String MODEL = "daka510000";

	private static final int EVENTS = 20;

	private static final int CLIENTS = 24;

	/** Every twentieth answer of half of the replicas is unframed: x .05, share .5. */
	private static final int UNFRAMED_EVERY = 20;

	private static final AtomicInteger ANSWERS = new AtomicInteger();

	private static final CompletableFuture<ReplicaProcess> UNFRAMED_AT = new CompletableFuture<>();

	private static final List<ReplicaProcess> REPLICAS = new CopyOnWriteArrayList<>();

	private CrashBetweenEvents() {
	}

	public static void main(String[] args) throws Exception {
		if (args.length == 3) {
			runReplica(args);
			return;
		}
		final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		Runtime.getRuntime().addShutdownHook(new Thread(CrashBetweenEvents::endReplicas));
		try (Deployment it = new Deployment(Path.of(args[0]), Path.of(args[1]))) {
			status = run(it, trouble);
			it.log("result: %s", (status == 0) ? "the rule held" : "the rule was broken");
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static void endReplicas() {
		REPLICAS.forEach((replica) -> replica.process.destroyForcibly());
	}

	// The process of one replica: its entries go to the process that has the store, and it ends with that.
	private static void runReplica(String[] args) throws Exception {
		final Path record = Files.createTempFile("replica", ".txt");
		try (Deployment it = new Deployment(Path.of(args[0]), record)) {
			it.store.forward = System.out;
			it.new Replica("pool", "z-a", args[2], CrashBetweenEvents::stream);
			while (System.in.read() >= 0) {
				// Nothing is sent; the end says that the other process has ended.
			}
		}
		finally {
			Files.deleteIfExists(record);
		}
	}

	/** A replica that is a process of its own, so that a signal can end it. */
	private static final class ReplicaProcess {

		final Process process;

		volatile String id = "";

		volatile String entry = "";

		ReplicaProcess(Deployment it, String domain) throws IOException {
			this.process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx32m",
					"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
					"CrashBetweenEvents", it.root.toString(), "replica", domain)
				.redirectError(ProcessBuilder.Redirect.DISCARD)
				.start();
			it.threads.execute(() -> {
				try (BufferedReader lines = this.process.inputReader(StandardCharsets.UTF_8)) {
					for (String line = lines.readLine(); line != null; line = lines.readLine()) {
						final String[] parts = line.split("\t");
						if (parts[0].equals("UNFRAMED")) {
							it.log("replica %s: answers %s without a length or chunks", this.id, parts[1]);
							UNFRAMED_AT.complete(this);
							continue;
						}
						this.id = parts[1];
						this.entry = parts[2];
						it.store.put(parts[0], parts[1], parts[2]);
					}
				}
				catch (IOException ex) {
					it.log("replica %s: %s", this.id, ex);
				}
			});
		}

	}

	private static int run(Deployment it, boolean trouble) throws Exception {
		for (int i = 0; i < 8; i++) {
			REPLICAS.add(new ReplicaProcess(it, "d-" + i / 4));
		}
		it.configure(7, List.of(Deployment.route("r-1", "/draft/", "streaming", "pool", 8000, 2, true)),
				List.of(Deployment.modelService("pool", MODEL, 2)));
		for (final String zone : List.of("a", "b", "c")) {
			it.new Daemon("edge-" + zone + "-1", "z-" + zone);
		}
		for (final Deployment.Daemon daemon : it.daemons) {
			daemon.start(true);
		}
		it.awaitReady(30_000);
		Deployment.pause(7_000);
		final AtomicBoolean over = new AtomicBoolean();
		final List<CompletableFuture<List<Integer>>> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			final Deployment.Daemon daemon = it.daemons.get(i % 3);
			clients.add(CompletableFuture.supplyAsync(() -> {
				final List<Integer> results = new ArrayList<>();
				while (!over.get()) {
					results.add(ask(it, daemon));
				}
				return results;
			}, it.threads));
		}
		final ReplicaProcess head = UNFRAMED_AT.get(40, TimeUnit.SECONDS);
		Deployment.pause(950);
		if (trouble) {
			// One of eight replicas, the head of a group.
			it.log("replica %s: SIGKILL", head.id);
			head.process.destroyForcibly();
		}
		over.set(true);
		final List<Integer> streams = new ArrayList<>();
		clients.forEach((client) -> streams.addAll(client.join()));
		int served = 0;
		int cut = 0;
		for (final int result : streams) {
			served += (result == 1) ? 1 : 0;
			cut += (result == 2) ? 1 : 0;
		}
		it.log("ORDER: %d of %d streams ended as complete before their last piece; %d were complete", cut,
				streams.size(), served);
		if (served == 0) {
			throw new IllegalStateException("no stream was served");
		}
		return (cut > 0) ? 1 : 0;
	}

	// Returns 1 for a whole stream, 2 for one that ends as complete before its last piece, 0 otherwise.
	private static int ask(Deployment it, Deployment.Daemon daemon) {
		final String id = Deployment.newId();
		final Deployment.Message answer = it.call(daemon.ip + ":" + daemon.frontend, "POST", "/draft/copy", id, 8_000,
				"Pistachioline-Model-Name: " + MODEL + "\r\nPistachioline-Token-Usage: 1460,160\r\n"
						+ "Pistachioline-Prefix-Hash: " + id.substring(0, 8) + ":1460\r\n",
				"x=1".getBytes(StandardCharsets.ISO_8859_1));
		final int events = answer.text().split("data: piece ", -1).length - 1;
		final boolean early = answer.status() == 200 && answer.complete && events < EVENTS;
		it.log("client: stream %s at %s: %d, %d of %d events, %s%s", id, daemon.name, answer.status(), events, EVENTS,
				answer.end, early ? "  ORDER" : "");
		return (answer.status() == 200 && answer.complete) ? (early ? 2 : 1) : 0;
	}

	// An event each 100 ms, each written whole; an unframed stream ends with its connection.
	private static boolean stream(Deployment.Replica replica, Deployment.Message request, Socket socket)
			throws IOException {
		final String id = request.header("Pistachioline-Attempt-Id");
		final int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
		final boolean unframed = replica.domain.equals("d-0") && ANSWERS.incrementAndGet() % UNFRAMED_EVERY == 0;
		if (unframed) {
			System.out.println("UNFRAMED\t" + id);
		}
		write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPistachioline-Attempt-Id: " + id
				+ "\r\nPistachioline-Response-Signature: 3e1b." + id + "\r\n"
				+ (unframed ? "" : "Transfer-Encoding: chunked\r\n") + "\r\n");
		for (int n = after + 1; n <= EVENTS; n++) {
			Deployment.pause(100);
			final String event = "id: " + n + "\ndata: piece " + n + " of " + id + "\n\n";
			write(socket, unframed ? event : Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
		}
		if (!unframed) {
			write(socket, "0\r\n\r\n");
		}
		return !unframed;
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

}
