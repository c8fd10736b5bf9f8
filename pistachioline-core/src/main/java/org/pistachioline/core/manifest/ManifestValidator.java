package org.pistachioline.core.manifest;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Checks a manifest as a whole and names every fault at once.
 * <p>
 * It runs in the client before publishing and in every daemon's reducer, so that a
 * manifest that passed one passes all.
 */
public final class ManifestValidator {

	/** The most instances that one replica group may have. */
	public static final int MAX_MEMBERS = 1024;

	/** The most replica groups of one model. */
	public static final int MAX_REPLICAS = 100_000;

	/** The longest time for which an idempotency key is remembered: one day. */
	public static final long MAX_KEY_LIFETIME_MILLIS = 86_400_000;

	/**
	 * The longest that a request may take: 14 minutes. The callers' port closes a
	 * connection on which nothing moves for 15, and an answer that is not streamed moves
	 * nothing until it is whole; a longer deadline would be cut without an answer.
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
	 * Returns every fault of a manifest.
	 * @param manifest the manifest
	 * @return the faults, in the manifest's order; empty where it is valid
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
			final String place = "models[" + index + "].";
			checkPool(place + "pool", model.pool(), PoolKind.ENGINE);
			checkRange(place + "members", model.members(), 1, MAX_MEMBERS);
			checkRange(place + "min_replicas", model.minReplicas(), 0, MAX_REPLICAS);
			checkRange(place + "max_replicas", model.maxReplicas(), model.minReplicas(), MAX_REPLICAS);
			checkRange(place + "max_concurrent_requests", model.maxConcurrentRequests(), 1, MAX_REPLICAS);
			index++;
		}
	}

	private void checkServices() {
		checkNames("services", this.manifest.services(), ServiceSpec::name);
		int index = 0;
		for (final ServiceSpec service : this.manifest.services()) {
			final String place = "services[" + index + "].";
			checkPool(place + "pool", service.pool(), PoolKind.SERVICE);
			checkRequestDuration(place + "timeout_seconds", service.timeoutMillis());
			int operationIndex = 0;
			for (final OperationSpec operation : service.operations()) {
				checkOperation(place + "operations[" + operationIndex + "].", operation);
				operationIndex++;
			}
			index++;
		}
	}

	private void checkOperation(String place, OperationSpec operation) {
		if (!METHOD.matcher(operation.method()).matches()) {
			addFault(place + "method", operation.method(), "an HTTP method in capitals");
		}
		if (!operation.pathPrefix().startsWith("/")) {
			addFault(place + "path_prefix", operation.pathPrefix(), "a path that starts with /");
		}
		if (!operation.idempotent()) {
			checkRange(place + "key_lifetime_seconds", operation.keyLifetimeMillis(), 1, MAX_KEY_LIFETIME_MILLIS);
		}
	}

	private void checkWorkspaces() {
		checkNames("workspaces", this.manifest.workspaces(), WorkspaceSpec::name);
		final Set<String> hashes = new HashSet<>();
		int index = 0;
		for (final WorkspaceSpec workspace : this.manifest.workspaces()) {
			final String place = "workspaces[" + index + "].";
			checkKeys(place + "key_sha256", workspace.keySha256(), hashes);
			checkPositive(place + "requests_per_second", workspace.requestsPerSecond());
			checkPositive(place + "tokens_in_flight", workspace.tokensInFlight());
			checkRange(place + "queued_requests", workspace.queuedRequests(), 0, MAX_REPLICAS);
			checkPositive(place + "weight", workspace.weight());
			for (final String model : workspace.models()) {
				if (this.manifest.model(model).isEmpty()) {
					addFault(place + "models", model, "a declared model");
				}
			}
			for (final String service : workspace.services()) {
				if (this.manifest.service(service).isEmpty()) {
					addFault(place + "services", service, "a declared service");
				}
			}
			index++;
		}
	}

	private void checkKeys(String place, List<String> keys, Set<String> seen) {
		if (keys.isEmpty()) {
			addFault(place, "no key", "at least one SHA-256 hash in hex");
		}
		for (final String key : keys) {
			if (!SHA256.matcher(key).matches()) {
				addFault(place, "a value of " + key.length() + " characters", "a SHA-256 hash, 64 hex digits");
			}
			else if (!seen.add(key)) {
				addFault(place, "a hash that stands twice", "a hash of one workspace only");
			}
		}
	}

	private <T> void checkNames(String place, List<T> specs, Function<T, String> name) {
		final Set<String> seen = new HashSet<>();
		for (int i = 0; i < specs.size(); i++) {
			final String value = name.apply(specs.get(i));
			if (!NAME.matcher(value).matches()) {
				addFault(place + "[" + i + "].name", quoted(value),
						"1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit");
			}
			else if (!seen.add(value)) {
				addFault(place + "[" + i + "].name", quoted(value), "a name that is used once");
			}
		}
	}

	private void checkPool(String place, String name, PoolKind kind) {
		final boolean known = this.manifest.pool(name).filter((pool) -> pool.kind() == kind).isPresent();
		if (!known) {
			addFault(place, quoted(name), "a declared pool of kind " + kind.manifestName());
		}
	}

	private void checkRange(String place, long value, long least, long most) {
		if (value < least || value > most) {
			addFault(place, Long.toString(value), least + " to " + most);
		}
	}

	private void checkRequestDuration(String place, long millis) {
		if (millis < 1 || millis > MAX_REQUEST_MILLIS) {
			addFault(place, millis + " ms", "1 to " + MAX_REQUEST_MILLIS + " ms");
		}
	}

	private void checkPositive(String place, double value) {
		if (!(value > 0) || Double.isInfinite(value)) {
			addFault(place, Double.toString(value), "a number above 0");
		}
	}

	private void addFault(String place, String found, String allowed) {
		this.faults.add(new Fault(place, found, allowed));
	}

	private static String quoted(String value) {
		return "'" + value + "'";
	}

}
