package org.pistachioline.standins.local;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.adapters.toml.InvalidInputException;
import org.pistachioline.adapters.toml.ManifestReader;
import org.pistachioline.core.record.LogRecord;

/**
 * The platform's and the targets' stand-ins as one process.
 */
public final class LocalStandIns implements AutoCloseable {

	private static final String MAIN_CLASS = "org.pistachioline.standins.StandInsMain";

	private final LocalProcess process;

	private final JsonNode addresses;

	private LocalStandIns(LocalProcess process, JsonNode addresses) {
		this.process = process;
		this.addresses = addresses;
	}

	/**
	 * Starts the stand-ins and waits until they listen.
	 * @param jvmOptions the virtual machine's options
	 * @param arguments the command line
	 * @return the running stand-ins
	 */
	public static LocalStandIns start(List<String> jvmOptions, String... arguments) {
		final LocalProcess process = LocalProcess.start("standins", jvmOptions, MAIN_CLASS, List.of(arguments));
		final String line = process.awaitLine("\"log\":").text();
		return new LocalStandIns(process, Json.tree(line.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Returns the process.
	 * @return the process
	 */
	public LocalProcess process() {
		return this.process;
	}

	/**
	 * Returns where the log is.
	 * @return the address
	 */
	public String log() {
		return this.addresses.path("log").asText();
	}

	/**
	 * Returns where the instance list is.
	 * @return the address
	 */
	public String instances() {
		return this.addresses.path("instances").asText();
	}

	/**
	 * Returns where the engines are.
	 * @return the addresses
	 */
	public List<String> engines() {
		return texts("engines");
	}

	/**
	 * Returns where the plain services are.
	 * @return the addresses
	 */
	public List<String> services() {
		return texts("services");
	}

	private List<String> texts(String name) {
		final List<String> texts = new ArrayList<>();
		this.addresses.path(name).forEach((node) -> texts.add(node.asText()));
		return texts;
	}

	/**
	 * Lists a daemon, so that others find it.
	 * @param daemon the daemon
	 */
	public void list(LocalDaemon daemon) {
		LocalHttp.post(instances(), "/instances", """
				{"id":"%s","pool":"pistachioline","address":"%s","fabric_domain":"","availability_zone":"zone-a",\
				"accelerators":0,"state":"live"}""".formatted(daemon.id(), daemon.peers()));
	}

	/**
	 * Appends a manifest to the configuration stream.
	 * @param toml the manifest
	 */
	public void publish(String toml) {
		final LogRecord record;
		try {
			record = new LogRecord("local#" + UUID.randomUUID(), 1, LogRecord.CURRENT_SCHEMA,
					ManifestReader.read("manifest", toml));
		}
		catch (InvalidInputException ex) {
			throw new IllegalArgumentException(ex);
		}
		append("configuration", RecordCodec.encode(List.of(record)));
	}

	private void append(String stream, byte[] payloadBytes) {
		final HttpRequest request = LocalHttp.request(log(), "/streams/" + stream + "/entries")
			.POST(HttpRequest.BodyPublishers.ofByteArray(payloadBytes))
			.build();
		final int status;
		try {
			status = LocalHttp.CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
		}
		catch (IOException ex) {
			throw new LocalCallException(log(), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
		if (status != 200) {
			throw new IllegalStateException("The log answered " + status);
		}
	}

	@Override
	public void close() {
		this.process.close();
	}

}
