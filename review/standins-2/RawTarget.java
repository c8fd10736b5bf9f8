import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send the letters of a name in a path and in a query as they are, in UTF-8. */
final class RawTarget {

	private RawTarget() {
	}

	public static void main(String[] args) throws Exception {
		final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = 2;
		try (Deployment it = new Deployment(Path.of(args[0]), Path.of(args[1]))) {
			status = run(it, trouble);
			it.log("result: %s", (status == 0) ? "the rule held" : "the rule was broken");
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static int run(Deployment it, boolean trouble) throws Exception {
		final Map<String, String> targetByAttempt = new ConcurrentHashMap<>();
		for (int i = 0; i < 3; i++) {
			it.new Replica("order-desk", "z-a", "", (replica, request, socket) -> {
				final String attempt = request.header("Pistachioline-Attempt-Id");
				targetByAttempt.put(attempt, request.target());
				Deployment.reply(socket, 200, "Pistachioline-Attempt-Id: " + attempt
						+ "\r\nPistachioline-Response-Signature: 3e1b." + attempt + "\r\n", "{}");
				return true;
			});
		}
		it.configure(7, List.of(Deployment.route("r-1", "/jobs/", "safe", "order-desk", 800, 2, false)),
				List.of(Deployment.plainService("order-desk")));
		for (final String zone : List.of("a", "b", "c")) {
			it.new Daemon("edge-" + zone + "-1", "z-" + zone);
		}
		for (final Deployment.Daemon daemon : it.daemons) {
			daemon.start(true);
		}
		it.awaitReady(30_000);
		Deployment.pause(3_000);
		final List<String> targets = trouble
				? List.of("/jobs/status?shop=Ren\u00e9e", "/jobs/Caf\u00e9/status", "/jobs/status?shop=\u4e2d\u58e2")
				: List.of("/jobs/status?shop=Ren%C3%A9e", "/jobs/Caf%C3%A9/status", "/jobs/status?shop=%E4%B8%AD%E5%A3%A2");
		int changed = 0;
		int ran = 0;
		for (int i = 0; i < 12; i++) {
			final Deployment.Daemon daemon = it.daemons.get(i % 3);
			for (final String target : targets) {
				final String id = Deployment.newId();
				final String octets = new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
				final Deployment.Message answer = it.call(daemon.ip + ":" + daemon.frontend, "GET", octets, id, 1_500, "",
						new byte[0]);
				final String run = targetByAttempt.get(id);
				final boolean differs = run != null && !run.equals(octets);
				ran += (run != null) ? 1 : 0;
				changed += differs ? 1 : 0;
				it.log("client: GET %s: %d from %s; the replica ran %s with %s%s", target, answer.status(), daemon.name, id,
						(run != null) ? new String(run.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8) : "nothing",
						differs ? "  UNASKED" : "");
			}
		}
		it.log("UNASKED: %d of %d requests that ran have another path or query than the client's", changed, ran);
		if (ran == 0 && !trouble) {
			throw new IllegalStateException("no request ran");
		}
		return (changed > 0) ? 1 : 0;
	}

}
