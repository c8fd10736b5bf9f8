import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The store comes back from a copy while all daemons start again. */
final class DrillAndRestart {

	private static final int DOMAINS = 12;

	private static final int DOMAIN_SIZE = 6;

	/** One of five replicas in nine of twelve domains: .15 of all. */
	private static final int CRASHES = 9;

	private DrillAndRestart() {
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

	private static long open(Deployment it) {
		return it.replicas.stream().filter((each) -> each.state.equals("open")).count();
	}

	private static void awaitOpen(Deployment it, int groups) {
		final long until = it.now() + 25_000;
		while (it.now() < until) {
			if (open(it) == groups) {
				it.log("%d groups are open; free with a staged model, by domain: %s", groups, it.store.freeAndStaged());
				return;
			}
			Deployment.pause(50);
		}
		throw new IllegalStateException("only " + open(it) + " groups are open");
	}

	// The members of open groups of a domain that are no heads.
	private static List<Deployment.Replica> followers(Deployment it, int domain) {
		return it.replicas.stream()
			.filter((each) -> each.domain.equals("d-" + domain) && each.state.equals("ready") && !each.draining)
			.toList();
	}

	private static int run(Deployment it, boolean trouble) throws Exception {
		for (int i = 0; i < DOMAINS * DOMAIN_SIZE; i++) {
			final int domain = i % DOMAINS;
			it.new Replica("pool", "z-" + "abc".charAt(domain % 3), "d-" + domain, (replica, request, socket) -> {
				Deployment.reply(socket, 200,
						"Pistachioline-Attempt-Id: " + request.header("Pistachioline-Attempt-Id")
								+ "\r\nPistachioline-Response-Signature: 1\r\nContent-Type: text/event-stream\r\n",
						"id: 1\ndata: a\n\n");
				return true;
			});
		}
		it.configure(7, List.of(Deployment.route("r-1", "/draft/", "streaming", "pool", 8000, 2, true)),
				List.of(Deployment.modelService("pool", "daka510000", 2)));
		for (final String zone : List.of("a", "b", "c")) {
			it.new Daemon("edge-" + zone + "-1", "z-" + zone);
		}
		for (final Deployment.Daemon daemon : it.daemons) {
			daemon.start(true);
		}
		it.awaitReady(30_000);
		awaitOpen(it, DOMAINS * (DOMAIN_SIZE / 2));
		Deployment.pause(5_000);
		it.log("platform: one replica of each domain leaves");
		for (int domain = 0; domain < DOMAINS; domain++) {
			followers(it, domain).get(0).drain();
		}
		Deployment.pause(6_000);
		it.log("%d groups are open; free with a staged model, by domain: %s", open(it), it.store.freeAndStaged());
		final Map<String, Deployment.Topic> copy = it.store.copy();
		it.log("store: the copy is made");
		Deployment.pause(300);
		final List<Deployment.Replica> crashing = new ArrayList<>();
		for (int domain = 0; domain < CRASHES; domain++) {
			crashing.add(followers(it, domain).get(0));
		}
		for (final Deployment.Replica replica : crashing) {
			replica.crash();
		}
		Deployment.pause(6_500);
		it.log("%d groups are open; free with a staged model, by domain: %s", open(it), it.store.freeAndStaged());
		for (final Deployment.Replica replica : crashing) {
			replica.startAgain();
		}
		Deployment.pause(500);
		it.log("%d groups are open; free with a staged model, by domain: %s", open(it), it.store.freeAndStaged());
		if (trouble) {
			it.store.goAway();
			for (final Deployment.Daemon daemon : it.daemons) {
				daemon.process.destroyForcibly();
				daemon.process.waitFor();
			}
			it.log("all daemons are killed");
			Deployment.pause(1_000);
			for (final Deployment.Daemon daemon : it.daemons) {
				daemon.start(false);
			}
			Deployment.pause(2_000);
			it.store.comeBack(copy);
		}
		Deployment.pause(12_000);
		it.log("TWO: %d times; %d groups are open", it.brokenTwo.get(), open(it));
		return (it.brokenTwo.get() > 0) ? 1 : 0;
	}

}
