package org.pistachioline.adapters.toml;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The keys of a manifest; docs/MANIFEST.md holds one row for each, and the reader accepts
 * no others.
 */
public enum ManifestKey {

	/** The version that the manifest replaces. */
	BASE_VERSION("", "base_version", "whole number, 0 or more", null,
			"Version that this manifest replaces; 0 for the first. On any other it is rejected."),

	/** What a second of a group's downtime weighs. */
	WEIGHTS_GROUP_DOWNTIME("weights", "group_downtime", "number", "1.0",
			"What a second of a group's downtime weighs, against `stranded_accelerators`."),

	/** What a second of a stranded accelerator weighs. */
	WEIGHTS_STRANDED_ACCELERATORS("weights", "stranded_accelerators", "number", "1.0",
			"What a second of a stranded accelerator weighs."),

	/** The longest wait for the first token. */
	DEADLINES_FIRST_TOKEN("deadlines", "first_token_seconds", "number", "10",
			"Longest wait for a completion's first token."),

	/** The longest completion. */
	DEADLINES_TOTAL("deadlines", "total_seconds", "number", "600", "Longest time that a completion may take."),

	/** A pool's name. */
	POOL_NAME("pools", "name", "text", null, "Name of the pool, as the instance list has it."),

	/** A pool's kind. */
	POOL_KIND("pools", "kind", "`engine` or `service`", null, "Whether model engines or plain services run in it."),

	/** Whether a pool's targets check fencing numbers. */
	POOL_CHECKS_FENCING("pools", "checks_fencing", "`true` or `false`", "false",
			"Whether its engines refuse an order with an old fencing number."),

	/** How many loads the weight store bears. */
	POOL_LOADS("pools", "weight_store_loads_per_minute", "number", "60",
			"How many loads of a member the weight store bears in a minute."),

	/** A model's name. */
	MODEL_NAME("models", "name", "text", null, "Name of the model, as callers give it."),

	/** A model's pool. */
	MODEL_POOL("models", "pool", "text", null, "Pool of engines on which its groups are formed."),

	/** A group's size. */
	MODEL_MEMBERS("models", "members", "whole number", null, "How many instances one replica spans."),

	/** The fewest replicas. */
	MODEL_MIN_REPLICAS("models", "min_replicas", "whole number", "1", "Fewest replica groups, also without demand."),

	/** The most replicas. */
	MODEL_MAX_REPLICAS("models", "max_replicas", "whole number", "`min_replicas`", "Most replica groups."),

	/** How many requests a group runs at once. */
	MODEL_CONCURRENT("models", "max_concurrent_requests", "whole number", "8", "Requests that one group runs at once."),

	/** A service's name. */
	SERVICE_NAME("services", "name", "text", null, "Name of the plain service, as in `/services/NAME/`."),

	/** A service's pool. */
	SERVICE_POOL("services", "pool", "text", null, "Pool of services on which it runs."),

	/** A service's timeout. */
	SERVICE_TIMEOUT("services", "timeout_seconds", "number", "10", "Longest time that a call may take."),

	/** An operation's method. */
	OPERATION_METHOD("services.operations", "method", "text", null, "HTTP method of the operation."),

	/** An operation's path. */
	OPERATION_PATH("services.operations", "path_prefix", "text", null, "Start of the operation's path."),

	/** Whether an operation may be repeated. */
	OPERATION_IDEMPOTENT("services.operations", "idempotent", "`true` or `false`", "true",
			"Whether it may run more than once; where not, an `Idempotency-Key` is required."),

	/** How long a key is known. */
	OPERATION_KEY_LIFETIME("services.operations", "key_lifetime_seconds", "number", "3600",
			"How long an idempotency key is remembered."),

	/** A workspace's name. */
	WORKSPACE_NAME("workspaces", "name", "text", null, "Name of the workspace."),

	/** The hashes of a workspace's keys. */
	WORKSPACE_KEYS("workspaces", "key_sha256", "list of texts", "none",
			"SHA-256 of each of its keys, in lower-case hexadecimal."),

	/** A workspace's rate. */
	WORKSPACE_RATE("workspaces", "requests_per_second", "number", null, "Most requests a second, over all daemons."),

	/** A workspace's tokens in flight. */
	WORKSPACE_TOKENS("workspaces", "tokens_in_flight", "whole number", null,
			"Most tokens, of prompts and answers, in flight at once."),

	/** A workspace's queue. */
	WORKSPACE_QUEUE("workspaces", "queued_requests", "whole number", null, "Most requests that wait at once."),

	/** A workspace's weight. */
	WORKSPACE_WEIGHT("workspaces", "weight", "number", "1.0", "Its share of a full system, against the others'."),

	/** A workspace's models. */
	WORKSPACE_MODELS("workspaces", "models", "list of texts", "none", "Models that it may call."),

	/** A workspace's services. */
	WORKSPACE_SERVICES("workspaces", "services", "list of texts", "none", "Plain services that it may call.");

	private final String table;

	private final String key;

	private final String type;

	private final String absent;

	private final String description;

	ManifestKey(String table, String key, String type, String absent, String description) {
		this.table = table;
		this.key = key;
		this.type = type;
		this.absent = absent;
		this.description = description;
	}

	/**
	 * Returns the keys that a table may have.
	 * @param table the table's name; empty for the top
	 * @return the keys and the tables below it
	 */
	static Set<String> under(String table) {
		return Arrays.stream(values())
			.filter((key) -> key.table.equals(table) || key.isBelow(table))
			.map((key) -> key.table.equals(table) ? key.key : key.firstBelow(table))
			.collect(Collectors.toUnmodifiableSet());
	}

	private boolean isBelow(String outer) {
		return outer.isEmpty() ? !this.table.isEmpty() : this.table.startsWith(outer + ".");
	}

	private String firstBelow(String outer) {
		return this.table.substring(outer.isEmpty() ? 0 : outer.length() + 1).split("\\.")[0];
	}

	/**
	 * Returns the key's row in docs/MANIFEST.md.
	 * @return the row
	 */
	public String row() {
		final String path = this.table.isEmpty() ? this.key : this.table + "." + this.key;
		return "| `" + path + "` | " + this.type + " | " + ((this.absent != null) ? this.absent : "required")
				+ " | 0.1.0 | " + this.description + " |";
	}

}
