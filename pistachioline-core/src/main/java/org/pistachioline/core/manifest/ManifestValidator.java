package org.pistachioline.core.manifest;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Validates a manifest and reports all validation errors at once.
 * <p>
 * The command-line client runs it before publishing, and each daemon when it applies the
 * proposal. As both use the same code, the daemons accept what the client accepted.
 */
public final class ManifestValidator {

	/** The maximum number of instances of a replica group. */
	public static final int MAX_MEMBERS = 1024;

	/**
	 * The maximum number of replica groups of a model, and the upper limit for the
	 * numbers of concurrent and of queued requests.
	 */
	public static final int MAX_REPLICAS = 100_000;

	/** The maximum lifetime of an idempotency key: one day. */
	public static final long MAX_KEY_LIFETIME_MILLIS = 86_400_000;

	/**
	 * The maximum duration of a request: 14 minutes. The port for callers closes a
	 * connection that is idle for 15 minutes, and a response that is not streamed leaves
	 * the connection idle until it is complete. With a longer deadline the connection
	 * would be closed without a response.
	 */
	public static final long MAX_REQUEST_MILLIS = 840_000;

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

	private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

	private final Manifest manifest;

	private final List<Fault> faults = new ArrayList<>();

	private ManifestValidator(Manifest manifest) {
		this.manifest = manifest;
	}

	/**
	 * Returns all validation errors of a manifest.
	 * @param manifest the manifest
	 * @return the errors, grouped by section; empty if the manifest is valid
	 */
	public static List<Fault> validate(Manifest manifest) {
		return new ManifestValidator(manifest).collectFaults();
	}

	private List<Fault> collectFaults() {
		checkPools();
		checkModels();
		checkServices();
		checkWorkspaces();
		checkPositive("weights.group_downtime", this.manifest.weights().groupDowntime());
		checkPositive("weights.stranded_accelerators", this.manifest.weights().strandedAccelerators());
		checkRequestDuration("deadlines.first_token_seconds", this.manifest.deadlines().firstTokenMillis());
		checkRequestDuration("deadlines.total_seconds", this.manifest.deadlines().totalMillis());
		return List.copyOf(this.faults);
	}

	private void checkPools() {
		checkNames("pools", this.manifest.pools(), PoolSpec::name);
		int index = 0;
		for (final PoolSpec pool : this.manifest.pools()) {
			checkPositive("pools[" + index + "].weight_store_loads_per_minute", pool.weightStoreLoadsPerMinute());
			index++;
		}
	}

	private void checkModels() {
		checkNames("models", this.manifest.models(), ModelSpec::name);
		int index = 0;
		for (final ModelSpec model : this.manifest.models()) {
			final String path = "models[" + index + "].";
			checkPool(path + "pool", model.pool(), PoolKind.ENGINE);
			checkRange(path + "members", model.members(), 1, MAX_MEMBERS);
			checkRange(path + "min_replicas", model.minReplicas(), 0, MAX_REPLICAS);
			checkRange(path + "max_replicas", model.maxReplicas(), model.minReplicas(), MAX_REPLICAS);
			checkRange(path + "max_concurrent_requests", model.maxConcurrentRequests(), 1, MAX_REPLICAS);
			index++;
		}
	}

	private void checkServices() {
		checkNames("services", this.manifest.services(), ServiceSpec::name);
		int index = 0;
		for (final ServiceSpec service : this.manifest.services()) {
			final String path = "services[" + index + "].";
			checkPool(path + "pool", service.pool(), PoolKind.SERVICE);
			checkRequestDuration(path + "timeout_seconds", service.timeoutMillis());
			int operationIndex = 0;
			for (final OperationSpec operation : service.operations()) {
				checkOperation(path + "operations[" + operationIndex + "].", operation);
				operationIndex++;
			}
			index++;
		}
	}

	private void checkOperation(String path, OperationSpec operation) {
		if (!METHOD.matcher(operation.method()).matches()) {
			addFault(path + "method", operation.method(), "an HTTP method in capitals");
		}
		if (!operation.pathPrefix().startsWith("/")) {
			addFault(path + "path_prefix", operation.pathPrefix(), "a path that starts with /");
		}
		if (!operation.idempotent()) {
			checkRange(path + "key_lifetime_seconds", operation.keyLifetimeMillis(), 1, MAX_KEY_LIFETIME_MILLIS);
		}
	}

	private void checkWorkspaces() {
		checkNames("workspaces", this.manifest.workspaces(), WorkspaceSpec::name);
		final Set<String> seenHashes = new HashSet<>();
		int index = 0;
		for (final WorkspaceSpec workspace : this.manifest.workspaces()) {
			final String path = "workspaces[" + index + "].";
			checkKeyHashes(path + "key_sha256", workspace.keySha256(), seenHashes);
			checkPositive(path + "requests_per_second", workspace.requestsPerSecond());
			checkPositive(path + "tokens_in_flight", workspace.tokensInFlight());
			checkRange(path + "queued_requests", workspace.queuedRequests(), 0, MAX_REPLICAS);
			checkPositive(path + "weight", workspace.weight());
			for (final String model : workspace.models()) {
				if (this.manifest.model(model).isEmpty()) {
					addFault(path + "models", model, "a declared model");
				}
			}
			for (final String service : workspace.services()) {
				if (this.manifest.service(service).isEmpty()) {
					addFault(path + "services", service, "a declared service");
				}
			}
			index++;
		}
	}

	private void checkKeyHashes(String path, List<String> keyHashes, Set<String> seen) {
		if (keyHashes.isEmpty()) {
			addFault(path, "no key", "at least one SHA-256 hash in hex");
		}
		for (final String keyHash : keyHashes) {
			if (!SHA256.matcher(keyHash).matches()) {
				addFault(path, "a value of " + keyHash.length() + " characters", "a SHA-256 hash, 64 hex digits");
			}
			else if (!seen.add(keyHash)) {
				addFault(path, "a hash that stands twice", "a hash of one workspace only");
			}
		}
	}

	private <T> void checkNames(String path, List<T> specs, Function<T, String> name) {
		final Set<String> seen = new HashSet<>();
		for (int i = 0; i < specs.size(); i++) {
			final String value = name.apply(specs.get(i));
			if (!NAME.matcher(value).matches()) {
				addFault(path + "[" + i + "].name", quoted(value),
						"1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit");
			}
			else if (!seen.add(value)) {
				addFault(path + "[" + i + "].name", quoted(value), "a name that is used once");
			}
		}
	}

	private void checkPool(String path, String name, PoolKind kind) {
		final boolean known = this.manifest.pool(name).filter((pool) -> pool.kind() == kind).isPresent();
		if (!known) {
			addFault(path, quoted(name), "a declared pool of kind " + kind.manifestName());
		}
	}

	private void checkRange(String path, long value, long min, long max) {
		if (value < min || value > max) {
			addFault(path, Long.toString(value), min + " to " + max);
		}
	}

	private void checkRequestDuration(String path, long millis) {
		if (millis < 1 || millis > MAX_REQUEST_MILLIS) {
			addFault(path, millis + " ms", "1 to " + MAX_REQUEST_MILLIS + " ms");
		}
	}

	private void checkPositive(String path, double value) {
		if (!(value > 0) || Double.isInfinite(value)) {
			addFault(path, Double.toString(value), "a number above 0");
		}
	}

	private void addFault(String path, String found, String allowed) {
		this.faults.add(new Fault(path, found, allowed));
	}

	private static String quoted(String value) {
		return "'" + value + "'";
	}

}
