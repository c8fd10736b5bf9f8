import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The operator adds two tenants whose names are in Chinese. What does a replica learn of who calls? */
final class TenantNames {

	private TenantNames() {
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
		final Map<String, String> tenantByAttempt = new ConcurrentHashMap<>();
		for (int i = 0; i < 3; i++) {
			it.new Replica("case-portal", "z-a", "", (replica, request, socket) -> {
				final String attempt = request.header("Pistachioline-Attempt-Id");
				tenantByAttempt.put(attempt, request.header("Pistachioline-Tenant-Id"));
				Deployment.reply(socket, 200, "Pistachioline-Attempt-Id: " + attempt
						+ "\r\nPistachioline-Response-Signature: 3e1b." + attempt + "\r\n", "{}");
				return true;
			});
		}
		final List<String> routes = List.of(Deployment.route("r-1", "/cases/", "unsafe", "case-portal", 800, 1, false));
		final List<String> services = List.of(Deployment.plainService("case-portal"));
		it.configure(7, routes, services);
		for (final String zone : List.of("a", "b", "c")) {
			it.new Daemon("edge-" + zone + "-1", "z-" + zone);
		}
		for (final Deployment.Daemon daemon : it.daemons) {
			daemon.start(true);
		}
		it.awaitReady(30_000);
		Deployment.pause(3_000);
		// Two districts of Taoyuan and Taipei: Zhongli and Songshan.
		final Map<String, String> tenantByKey = trouble
				? Map.of("keyofzhongli0000001", "\u4e2d\u58e2", "keyofsongshan000002", "\u677e\u5c71")
				: Map.of("keyofzhongli0000001", "zhongli", "keyofsongshan000002", "songshan");
		final List<String> tenants = new ArrayList<>();
		tenantByKey.forEach((key, name) -> tenants
			.add("{\"Name\":\"" + name + "\",\"ApiKeys\":[\"" + key + "\"],\"Priority\":1}"));
		it.store.put("keyed.op", "config",
				"{\"Version\":9,\"Routes\":[" + String.join(",", routes) + "],\"Services\":[" + String.join(",", services)
						+ "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
						+ "\"IdleTimeoutMs\":15000},\"Tenants\":[" + String.join(",", tenants) + "]}");
		it.log("operator: configuration 9 with the tenants %s is acknowledged", tenantByKey.values());
		Deployment.pause(4_000);
		int wrong = 0;
		int ran = 0;
		for (int i = 0; i < 12; i++) {
			final Deployment.Daemon daemon = it.daemons.get(i % 3);
			for (final Map.Entry<String, String> tenant : tenantByKey.entrySet()) {
				final String id = Deployment.newId();
				final Deployment.Message answer = it.call(daemon.ip + ":" + daemon.frontend, "POST", "/cases/photo", id, 1_500,
						"", "x=1".getBytes(StandardCharsets.ISO_8859_1), tenant.getKey());
				final String sent = tenantByAttempt.get(id);
				final boolean right = sent != null && (sent.equals(tenant.getValue())
						|| new String(sent.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8)
							.equals(tenant.getValue()));
				ran += (sent != null) ? 1 : 0;
				wrong += (sent != null && !right) ? 1 : 0;
				it.log("client of tenant %s: %d from %s; the replica ran %s for tenant \"%s\"%s", tenant.getValue(),
						answer.status(), daemon.name, id, sent, (sent != null && !right) ? "  UNASKED" : "");
			}
		}
		it.log("UNASKED: %d of %d requests that ran bear another tenant than the one that holds the key", wrong, ran);
		if (ran == 0 && !trouble) {
			throw new IllegalStateException("no request ran");
		}
		return (wrong > 0) ? 1 : 0;
	}

}
