package org.pistachioline.standins.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

import org.pistachioline.adapters.http.Json;

/**
 * A daemon as a process of its own, on free ports of loopback.
 */
public final class LocalDaemon implements AutoCloseable {

	/** The options that bin/pistachioline gives. */
	public static final List<String> JVM_OPTIONS = List.of("-Xmx128m", "-Xss512k", "-XX:ReservedCodeCacheSize=48m",
			"-XX:+UseSerialGC");

	private static final String MAIN_CLASS = "org.pistachioline.daemon.DaemonMain";

	private final String id;

	private final LocalProcess process;

	private LocalDaemon(String id, LocalProcess process) {
		this.id = id;
		this.process = process;
	}

	/**
	 * Starts a daemon; its addresses are known once it listens.
	 * @param id its id
	 * @param zone its availability zone
	 * @param standIns the platform that it uses
	 * @param jvmOptions the virtual machine's options
	 * @param moreSettings further settings, one dotted key a line
	 * @return the starting daemon
	 */
	public static LocalDaemon start(String id, String zone, LocalStandIns standIns, List<String> jvmOptions,
			String moreSettings) {
		final String settings = """
				daemon.id = "%s"
				daemon.availability_zone = "%s"
				callers.address = "127.0.0.1:0"
				callers.endpoint_ttl_seconds = 1
				admin.address = "127.0.0.1:0"
				peers.address = "127.0.0.1:0"
				log.address = "%s"
				instances.address = "%s"
				%s
				""".formatted(id, zone, standIns.log(), standIns.instances(), moreSettings);
		try {
			final Path file = Files.createTempFile("pistachioline-" + id + "-", ".toml");
			file.toFile().deleteOnExit();
			Files.writeString(file, settings);
			return new LocalDaemon(id,
					LocalProcess.start(id, jvmOptions, MAIN_CLASS, List.of("--config", file.toString())));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the daemon's id.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the process.
	 * @return the process
	 */
	public LocalProcess process() {
		return this.process;
	}

	/**
	 * Returns where callers connect, once the daemon listens.
	 * @return the address
	 */
	public String callers() {
		return address("callers");
	}

	/**
	 * Returns where operators connect, once the daemon listens.
	 * @return the address
	 */
	public String admin() {
		return address("admin");
	}

	/**
	 * Returns where other daemons connect, once the daemon listens.
	 * @return the address
	 */
	public String peers() {
		return address("peers");
	}

	private String address(String name) {
		final Matcher matcher = Pattern.compile("\\b" + name + "=\"([^\"]+)\"")
			.matcher(this.process.awaitLine("PL-0100").text());
		if (!matcher.find()) {
			throw new IllegalStateException(this.id + " named no address of " + name);
		}
		return matcher.group(1);
	}

	/**
	 * Asks for the daemon's state.
	 * @return the dump
	 */
	public JsonNode dump() {
		return Json.tree(LocalHttp.get(admin(), "/debug/dump").body().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Waits until the daemon takes requests.
	 */
	public void awaitReady() {
		LocalHttp.await(this.id + " to be ready", () -> LocalHttp.get(admin(), "/readyz").statusCode() == 200);
	}

	/**
	 * Waits until the daemon sees as many groups that serve.
	 * @param groups the number of groups
	 */
	public void awaitServing(int groups) {
		LocalHttp.await(this.id + " to see " + groups + " groups serving", () -> serving(dump()) >= groups);
	}

	private static int serving(JsonNode dump) {
		int serving = 0;
		for (final JsonNode group : dump.path("fleet").path("groups")) {
			if (group.path("missing_ranks").isEmpty() && !group.path("draining").asBoolean()) {
				serving++;
			}
		}
		return serving;
	}

	@Override
	public void close() {
		this.process.close();
	}

}
