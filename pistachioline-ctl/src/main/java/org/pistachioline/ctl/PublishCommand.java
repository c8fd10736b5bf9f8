package org.pistachioline.ctl;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.platform.HttpLogService;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.state.ConfigState;

/**
 * Publishes a manifest, waits until it is accepted and then until it is in force on every
 * live daemon.
 */
final class PublishCommand implements Command {

	private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> log = this.parser.accepts("log", "address of the log service")
		.withRequiredArg()
		.required();

	private final OptionSpec<String> admin = this.parser.accepts("admin", "operators' address of any daemon")
		.withRequiredArg()
		.required();

	private final OptionSpec<String> stream = this.parser.accepts("stream", "the configuration stream")
		.withRequiredArg()
		.defaultsTo("configuration");

	private final OptionSpec<Integer> timeoutSeconds = this.parser
		.accepts("timeout-seconds", "how long to wait for each of the two steps")
		.withRequiredArg()
		.ofType(Integer.class)
		.defaultsTo(15);

	private final OptionSpec<Void> help = this.parser.accepts("help", "print this help").forHelp();

	@Override
	public String name() {
		return "publish";
	}

	@Override
	public String summary() {
		return "MANIFEST.toml: publish a manifest and wait until it is in force everywhere";
	}

	@Override
	public ExitCode run(String[] args) throws IOException {
		this.parser.nonOptions("the manifest");
		final OptionSet options = this.parser.parse(args);
		if (options.has(this.help)) {
			this.parser.printHelpOn(System.out);
			return ExitCode.DONE;
		}
		if (options.nonOptionArguments().size() != 1) {
			System.err.println("publish: exactly one manifest is needed");
			return ExitCode.USAGE;
		}
		final Optional<ManifestProposal> proposal = Manifests.read((String) options.nonOptionArguments().get(0));
		if (proposal.isEmpty()) {
			return ExitCode.USAGE;
		}
		final ActorSystem<Void> system = ActorSystems.create("pistachioctl");
		try {
			return publish(options, proposal.get(), system);
		}
		finally {
			system.terminate();
		}
	}

	private ExitCode publish(OptionSet options, ManifestProposal proposal, ActorSystem<Void> system) {
		final HttpLogService service = new HttpLogService(new HttpCaller(system), options.valueOf(this.log));
		final ConfigFollower follower = new ConfigFollower(service, options.valueOf(this.stream));
		final String writer = "pistachioctl#" + UUID.randomUUID();
		final LogRecord record = new LogRecord(writer, 1, LogRecord.CURRENT_SCHEMA, proposal);
		final long timeoutNanos = TimeUnit.SECONDS.toNanos(options.valueOf(this.timeoutSeconds));
		final Optional<ConfigFollower.Verdict> verdict;
		try {
			verdict = follower.append(record, timeoutNanos);
		}
		catch (RuntimeException ex) {
			System.err.println("the log cannot be reached: " + ex.getMessage());
			return ExitCode.FAILED;
		}
		if (verdict.isEmpty()) {
			System.err.println("it is not known whether the manifest was accepted; see 'pistachioctl status'");
			return ExitCode.UNKNOWN;
		}
		final ConfigState state = verdict.get().state();
		if (verdict.get().rejection().isPresent()) {
			System.err.println("rejected (" + verdict.get().rejection().get() + "): version " + state.version()
					+ " is in force, the manifest names base version " + proposal.baseVersion());
			return ExitCode.BEATEN;
		}
		System.out.println("accepted as version " + state.version() + " at offset " + state.acceptedOffset());
		return waitInForce(options.valueOf(this.admin), state.version(), timeoutNanos);
	}

	private static ExitCode waitInForce(String admin, long version, long timeoutNanos) {
		final AdminClient client = new AdminClient();
		final long begunAtNanos = System.nanoTime();
		List<String> behind = List.of("every daemon");
		while (System.nanoTime() - begunAtNanos < timeoutNanos) {
			try {
				behind = behind(client.dump(admin), version);
				if (behind.isEmpty()) {
					System.out.println("in force on every live daemon");
					return ExitCode.DONE;
				}
			}
			catch (IOException ex) {
				behind = List.of(admin + " (" + ex.getMessage() + ")");
			}
			LockSupport.parkNanos(CHECK_NANOS);
		}
		System.err.println("accepted, but not yet in force on: " + String.join(", ", behind));
		return ExitCode.NOT_IN_FORCE;
	}

	private static List<String> behind(JsonNode dump, long version) {
		final List<String> behind = new ArrayList<>();
		for (final JsonNode peer : dump.path("peers")) {
			if (peer.path("config_version").asLong() < version) {
				behind.add(peer.path("daemon_id").asText());
			}
		}
		return behind;
	}

}
