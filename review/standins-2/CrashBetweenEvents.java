import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A replica crashes between two events of streams that have neither a length nor chunks. */
final class CrashBetweenEvents {

	private static final String MODEL = "daka510000";

	private static final int EVENTS = 20;

	private static final int STREAMS = 24;

	private CrashBetweenEvents() {
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
		for (int i = 0; i < 8; i++) {
			it.new Replica("pool", "z-a", "d-" + i / 4, CrashBetweenEvents::stream);
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
		final List<CompletableFuture<Integer>> streams = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			final Deployment.Daemon daemon = it.daemons.get(i % 3);
			streams.add(CompletableFuture.supplyAsync(() -> ask(it, daemon), it.threads));
		}
		Deployment.pause(950);
		if (trouble) {
			// One of eight replicas, the head of a group.
			it.replicas.stream().filter((each) -> each.state.equals("open")).findFirst().orElseThrow().crash();
		}
		int served = 0;
		int cut = 0;
		for (final CompletableFuture<Integer> stream : streams) {
			final int result = stream.join();
			served += (result == 1) ? 1 : 0;
			cut += (result == 2) ? 1 : 0;
		}
		it.log("ORDER: %d of %d streams ended as complete before their last piece; %d were complete", cut, STREAMS, served);
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

	// An event each 100 ms, each written whole; the stream ends with its connection.
	private static boolean stream(Deployment.Replica replica, Deployment.Message request, Socket socket)
			throws IOException {
		final String id = request.header("Pistachioline-Attempt-Id");
		final int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
		replica.log("replica %s: runs %s after event %d", replica.id, id, after);
		write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPistachioline-Attempt-Id: " + id
				+ "\r\nPistachioline-Response-Signature: 3e1b." + id + "\r\n\r\n");
		for (int n = after + 1; n <= EVENTS; n++) {
			Deployment.pause(100);
			write(socket, "id: " + n + "\ndata: piece " + n + " of " + id + "\n\n");
		}
		return false;
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		socket.getOutputStream().flush();
	}

}
