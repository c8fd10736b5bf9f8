package org.pistachioline.ctl;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Shows what a daemon knows, as a table or as JSON.
 */
final class StatusCommand implements Command {

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> admin = this.parser.accepts("admin", "operators' address of any daemon")
		.withRequiredArg()
		.required();

	private final OptionSpec<Void> json = this.parser.accepts("json", "print JSON for scripts");

	private final OptionSpec<Void> help = this.parser.accepts("help", "print this help").forHelp();

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "show daemons, groups and what is in force";
	}

	@Override
	public ExitCode run(String[] args) throws IOException {
		final OptionSet options = this.parser.parse(args);
		if (options.has(this.help)) {
			this.parser.printHelpOn(System.out);
			return ExitCode.DONE;
		}
		final JsonNode dump;
		try {
			dump = new AdminClient().dump(options.valueOf(this.admin));
		}
		catch (IOException ex) {
			System.err.println("status: " + ex.getMessage());
			return ExitCode.FAILED;
		}
		if (options.has(this.json)) {
			System.out.println(dump);
		}
		else {
			print(dump);
		}
		return ExitCode.DONE;
	}

	private static void print(JsonNode dump) {
		final JsonNode config = dump.path("config");
		System.out.printf("configuration %d in force since offset %d; log %s; %d requests held, %d queued%n",
				config.path("version").asLong(), config.path("accepted_offset").asLong(),
				config.path("log_reachable").asBoolean() ? "reachable" : "NOT reachable",
				dump.path("requests").path("held").asLong(), dump.path("requests").path("queued").asLong());
		if (!dump.path("not_ready_reason").asText().isEmpty()) {
			System.out.println("not ready: " + dump.path("not_ready_reason").asText());
		}
		final JsonNode evacuated = dump.path("evacuation").path("availability_zones");
		if (!evacuated.isEmpty()) {
			System.out.println("operators evacuate: " + evacuated);
		}
		System.out.println();
		System.out.printf("%-16s %-12s %8s %10s %8s  %s%n", "DAEMON", "ZONE", "CONFIG", "LOG AGE MS", "STATE",
				"CALLERS");
		for (final JsonNode peer : dump.path("peers")) {
			final String state = peer.path("leaving").asBoolean() ? "leaving"
					: (peer.path("ready").asBoolean() ? "ready" : "waiting");
			System.out.printf("%-16s %-12s %8d %10d %8s  %s%n", peer.path("daemon_id").asText(),
					peer.path("availability_zone").asText(), peer.path("config_version").asLong(),
					peer.path("log_age_millis").asLong(), state, peer.path("caller_address").asText());
		}
		System.out.println();
		System.out.printf("%-36s %-16s %8s %-12s %s%n", "GROUP", "MODEL", "EPOCH", "DOMAIN", "STATE");
		for (final JsonNode group : dump.path("fleet").path("groups")) {
			System.out.printf("%-36s %-16s %8d %-12s %s%n", group.path("group_id").asText(),
					group.path("model").asText(), group.path("epoch").asLong(), group.path("fabric_domain").asText(),
					stateOf(group));
		}
		printPlanners(dump.path("fleet").path("planners"));
	}

	private static void printPlanners(JsonNode planners) {
		System.out.println();
		System.out.printf("%-20s %8s %s%n", "FABRIC DOMAIN", "EPOCH", "PLANNER");
		planners.properties()
			.forEach((entry) -> System.out.printf("%-20s %8d %s%n", entry.getKey(),
					entry.getValue().path("epoch").asLong(), entry.getValue().path("writer").asText()));
	}

	private static String stateOf(JsonNode group) {
		if (group.path("draining").asBoolean()) {
			return "draining: " + group.path("reason").asText();
		}
		return group.path("missing_ranks").isEmpty() ? "serving" : "missing ranks " + group.path("missing_ranks");
	}

}
