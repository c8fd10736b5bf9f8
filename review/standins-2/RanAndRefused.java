import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One of three replicas fails part of its bookings: it runs them and answers 429 or 408, without Not-Executed. */
final class RanAndRefused {

	private static final int BOOKINGS = 60;

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	private RanAndRefused() {
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
		final Map<String, String> ranByAttempt = new ConcurrentHashMap<>();
		final Map<String, AtomicInteger> runsByBooking = new ConcurrentHashMap<>();
		final AtomicInteger greyRuns = new AtomicInteger();
		for (int i = 0; i < 3; i++) {
			final boolean grey = trouble && i == 0;
			it.new Replica("order-desk", "z-a", "", (replica, request, socket) -> {
				final String attempt = request.header("Pistachioline-Attempt-Id");
				ranByAttempt.put(attempt, request.text());
				runsByBooking.computeIfAbsent(request.text(), (booking) -> new AtomicInteger()).incrementAndGet();
				Deployment.pause(20);
				final int n = grey ? greyRuns.getAndIncrement() : 4;
				final int status = (n % 5 == 0) ? 429 : (n % 5 == 2) ? 408 : 200;
				it.log("replica %s: ran %s of attempt %s, answers %d", replica.id, request.text(), attempt, status);
				Deployment.reply(socket, status, "Pistachioline-Attempt-Id: " + attempt
						+ "\r\nPistachioline-Response-Signature: 3e1b." + attempt + "\r\n", "{}");
				return true;
			});
		}
		it.configure(7, List.of(Deployment.route("r-1", "/slots/", "unsafe", "order-desk", 800, 1, false)),
				List.of(Deployment.plainService("order-desk")));
		for (final String zone : List.of("a", "b", "c")) {
			it.new Daemon("edge-" + zone + "-1", "z-" + zone);
		}
		for (final Deployment.Daemon daemon : it.daemons) {
			daemon.start(true);
		}
		it.awaitReady(30_000);
		Deployment.pause(4_000);
		int refusedAndRan = 0;
		int served = 0;
		for (int i = 0; i < BOOKINGS; i++) {
			final String booking = "slot=" + i;
			// A client repeats an unsafe request only after a promise, with a new id and on a new connection.
			for (int attempt = 0; attempt < 2; attempt++) {
				final Deployment.Daemon daemon = it.daemons.get((i + attempt) % 3);
				final String id = Deployment.newId();
				final Deployment.Message answer = it.call(daemon.ip + ":" + daemon.frontend, "POST", "/slots/book", id, 1_500,
						"", booking.getBytes(StandardCharsets.ISO_8859_1));
				final boolean promise = PROMISES.contains(answer.status());
				final boolean ran = ranByAttempt.containsKey(id);
				it.log("client: %s, attempt %s at %s: %d, %s", booking, id, daemon.name, answer.status(), answer.end);
				served += (answer.status() == 200) ? 1 : 0;
				if (promise && ran) {
					refusedAndRan++;
					it.log("REFUSED: attempt %s has run and is answered %d", id, answer.status());
				}
				if (!promise) {
					break;
				}
			}
		}
		final long twice = runsByBooking.values().stream().filter((runs) -> runs.get() > 1).count();
		it.log("REFUSED: %d attempts have run and were answered as not run; %d bookings were made twice; %d answers 200",
				refusedAndRan, twice, served);
		if (served < BOOKINGS / 2) {
			throw new IllegalStateException("the bookings were not served: " + served);
		}
		return (refusedAndRan > 0) ? 1 : 0;
	}

}
