import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Machines are stopped in turn; a stream that one of them accepts meanwhile is cut. */
final class PlannedStop {

	private static final String MODEL = "daka510000";

	private static final int EVENT_MS = 200;

	private static final int LONG_EVENTS = 22;

	private PlannedStop() {
	}

	public static void main(String[] args) throws Exception {
		final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Deployment it = new Deployment(Path.of(args[0]), Path.of(args[1]))) {
			status = run(it, trouble);
			it.log("result: %s", (status == 0) ? "the rule held" : "the rule was broken");
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int run(Deployment it, boolean trouble) throws Exception {
		for (int i = 0; i < 4; i++) {
			it.new Replica("pool", "z-a", "d-1", PlannedStop::stream);
		}
		it.configure(7, List.of(Deployment.route("r-1", "/draft/", "streaming", "pool", 8000, 2, true)),
				List.of(Deployment.modelService("pool", MODEL, 2)));
		for (final String zone : List.of("a", "b")) {
			it.new Daemon("edge-" + zone + "-1", "z-" + zone);
		}
		for (final Deployment.Daemon daemon : it.daemons) {
			daemon.start(true);
		}
		it.awaitReady(30_000);
		Deployment.pause(6_000);
		// The usual traffic: answers of a few events.
		int served = 0;
		for (int round = 0; round < 10; round++) {
			for (final Deployment.Daemon daemon : it.daemons) {
				final List<CompletableFuture<Boolean>> answers = java.util.stream.IntStream.range(0, 4)
					.mapToObj((n) -> CompletableFuture.supplyAsync(() -> ask(it, daemon, 3), it.threads))
					.toList();
				served += answers.stream().mapToInt((answer) -> answer.join() ? 1 : 0).sum();
			}
		}
		it.log("usual traffic: %d of 80 streams were served in full", served);
		if (served < 70) {
			throw new IllegalStateException("the usual traffic was not served: " + served);
		}
		final Deployment.Daemon last = it.daemons.get(1);
		if (trouble) {
			for (final Deployment.Daemon daemon : it.daemons) {
				daemon.terminate();
				it.threads.execute(() -> startAgain(it, daemon));
				Deployment.pause((daemon == last) ? 0 : 1_000);
			}
		}
		Deployment.pause(3_200);
		// Clients whose answers are longer, within the same maximum of output tokens. Each looks up where to connect, as
		// for a new connection.
		final List<CompletableFuture<Boolean>> lost = new java.util.ArrayList<>();
		for (int client = 0; client < 4; client++) {
			lost.add(CompletableFuture.supplyAsync(() -> isLost(it, last, trouble), it.threads));
			Deployment.pause(150);
		}
		final long count = lost.stream().filter(CompletableFuture::join).count();
		it.log("LOST: %d of %d streams", count, lost.size());
		return (count > 0) ? 1 : 0;
	}

	private static boolean isLost(Deployment it, Deployment.Daemon last, boolean trouble) {
		final List<String> addresses = last.lookup();
		final Deployment.Daemon taker = it.daemons.stream()
			.filter((each) -> addresses.contains(each.ip + ":" + each.frontend))
			.reduce((first, second) -> second)
			.orElse(null);
		if (taker == null) {
			it.log("client: the directory of %s names nobody", last.name);
			return false;
		}
		final long sentAt = it.now();
		final String id = Deployment.newId();
		it.log("client: the directory of %s names %d; sends stream %s to %s, %d ms after its SIGTERM", last.name,
				addresses.size(), id, taker.name, trouble ? sentAt - taker.terminatedAtMillis : 0);
		final Deployment.Message answer = send(it, taker, id, LONG_EVENTS);
		final long took = it.now() - sentAt;
		it.log("client: stream %s ends after %d ms: status %d, %d of %d events, %s", id, took, answer.status(),
				events(answer), LONG_EVENTS, answer.end);
		// LOST: passed on to a replica that is sound and still at work, sent later than 3 s after the SIGTERM, cut within
		// GraceS + 1 s of it, before the deadline and the route's timeout.
		return trouble && answer.status() == 200 && !answer.complete && took < 7_500
				&& sentAt - taker.terminatedAtMillis > 3_000 && it.now() - taker.terminatedAtMillis < 9_000;
	}

	// The platform starts a process that has ended again after a short delay.
	private static void startAgain(Deployment it, Deployment.Daemon daemon) {
		try {
			it.log("%s: ended with %d", daemon.name, daemon.process.waitFor());
			Deployment.pause(1_000);
			daemon.start(false);
		}
		catch (Exception ex) {
			it.log("%s: not started again: %s", daemon.name, ex);
		}
	}

	private static boolean ask(Deployment it, Deployment.Daemon daemon, int events) {
		final Deployment.Message answer = send(it, daemon, Deployment.newId(), events);
		return answer.complete && answer.status() == 200 && events(answer) == events;
	}

	private static Deployment.Message send(Deployment it, Deployment.Daemon daemon, String id, int events) {
		return it.call(daemon.ip + ":" + daemon.frontend, "POST", "/draft/copy", id, 8_000,
				"Pistachioline-Model-Name: " + MODEL + "\r\nPistachioline-Token-Usage: 1460,160\r\n"
						+ "Pistachioline-Prefix-Hash: " + id.substring(0, 8) + ":1460\r\n",
				("events=" + events).getBytes(StandardCharsets.ISO_8859_1));
	}

	private static int events(Deployment.Message answer) {
		return answer.text().split("\nid: ", -1).length - (answer.text().startsWith("id: ") ? 0 : 1);
	}

	// A sound head of a group: an event of five tokens each 200 ms.
	private static boolean stream(Deployment.Replica replica, Deployment.Message request, Socket socket)
			throws IOException {
		final String id = request.header("Pistachioline-Attempt-Id");
		final int count = Integer.parseInt(request.text().substring("events=".length()));
		final int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
		if (count > 3) {
			replica.log("replica %s: runs %s after event %d, %s ms left", replica.id, id, after,
					request.header("Pistachioline-Deadline-Ms"));
		}
		write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPistachioline-Attempt-Id: " + id
				+ "\r\nPistachioline-Response-Signature: 3e1b." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int n = after + 1; n <= count; n++) {
			Deployment.pause(EVENT_MS);
			final String event = "id: " + n + "\ndata: piece " + n + " of " + id + "\n\n";
			try {
				write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
			}
			catch (IOException ex) {
				replica.log("replica %s: %s is broken off by the daemon at event %d of %d", replica.id, id, n, count);
				throw ex;
			}
		}
		write(socket, "0\r\n\r\n");
		return true;
	}

	private static void write(Socket socket, String text) throws IOException {
		final ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().write(out.toByteArray());
		socket.getOutputStream().flush();
	}

}
