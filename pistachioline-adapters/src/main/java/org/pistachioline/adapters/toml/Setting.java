package org.pistachioline.adapters.toml;

/**
 * The daemon's settings; docs/SETTINGS.md holds one row for each.
 */
public enum Setting {

	/** The daemon's name. */
	DAEMON_ID("daemon.id", SettingType.TEXT, null, "Name of this daemon, unlike all others."),

	/** The daemon's availability zone. */
	DAEMON_AVAILABILITY_ZONE("daemon.availability_zone", SettingType.TEXT, null,
			"Availability zone in which this daemon runs."),

	/** Where callers connect. */
	CALLERS_ADDRESS("callers.address", SettingType.ADDRESS, null, "Address on which callers are served."),

	/** The largest body. */
	CALLERS_MAX_BODY_BYTES("callers.max_body_bytes", SettingType.WHOLE, "4194304",
			"Largest body of a request, in bytes."),

	/** The longest time for a body. */
	CALLERS_BODY_TIMEOUT_MILLIS("callers.body_timeout_millis", SettingType.WHOLE, "10000",
			"Longest time that a caller may take to send a body, in milliseconds."),

	/** How long endpoints are kept. */
	CALLERS_ENDPOINT_TTL_SECONDS("callers.endpoint_ttl_seconds", SettingType.WHOLE, "30",
			"How long a caller may keep an answer of /v1/endpoints, in seconds."),

	/** Where operators connect. */
	ADMIN_ADDRESS("admin.address", SettingType.ADDRESS, null,
			"Address on which operators are served; keep it away from callers."),

	/** Where peers connect. */
	PEERS_ADDRESS("peers.address", SettingType.ADDRESS, null, "Address on which other daemons are served."),

	/** Peers to begin with. */
	PEERS_SEEDS("peers.seeds", SettingType.ADDRESSES, "",
			"Addresses of daemons to begin with, beside those in the instance list."),

	/** The interval of heartbeats. */
	PEERS_HEARTBEAT_MILLIS("peers.heartbeat_millis", SettingType.WHOLE, "500",
			"Time between two heartbeats to other daemons, in milliseconds."),

	/** The most connections of peers. */
	PEERS_MAX_CONNECTIONS("peers.max_connections", SettingType.WHOLE, "256",
			"How many connections others may hold on the peer port."),

	/** The certificate towards peers. */
	PEERS_TLS_CERTIFICATE("peers.tls_certificate", SettingType.TEXT, "",
			"PEM file with this daemon's certificate for mutual TLS between daemons; needs the other two."),

	/** The private key towards peers. */
	PEERS_TLS_KEY("peers.tls_key", SettingType.TEXT, "", "PEM file with the private key of peers.tls_certificate."),

	/** The authority of peers. */
	PEERS_TLS_TRUST("peers.tls_trust", SettingType.TEXT, "",
			"PEM file with the authority that signs the certificates of daemons and of nothing else."),

	/** Where the platform's log is. */
	LOG_ADDRESS("log.address", SettingType.ADDRESS, null, "Address of the platform's log service."),

	/** The configuration stream. */
	LOG_CONFIG_STREAM("log.config_stream", SettingType.TEXT, "configuration", "Stream with the manifests."),

	/** The fleet stream. */
	LOG_FLEET_STREAM("log.fleet_stream", SettingType.TEXT, "fleet", "Stream with groups and planners."),

	/** The claims streams. */
	LOG_CLAIMS_STREAM("log.claims_stream", SettingType.TEXT, "claims",
			"Start of the names of the streams with claims."),

	/** How many claims streams there are. */
	LOG_CLAIMS_PARTITIONS("log.claims_partitions", SettingType.WHOLE, "4",
			"How many streams the claims are spread over; the same on all daemons."),

	/** How long the log keeps entries. */
	LOG_RETENTION_SECONDS("log.retention_seconds", SettingType.WHOLE, "86400",
			"How long the log keeps an entry at least, in seconds; checkpoints go ahead of it."),

	/** How many entries may follow a checkpoint. */
	LOG_CHECKPOINT_ENTRIES("log.checkpoint_entries", SettingType.WHOLE, "10000",
			"How many entries of a stream may follow its newest checkpoint."),

	/** The appends a second of all daemons. */
	LOG_APPENDS_PER_SECOND("log.appends_per_second", SettingType.WHOLE, "300",
			"Appends a second that all daemons together may use; each takes an equal share."),

	/** The staleness bound. */
	LOG_STALENESS_BOUND_SECONDS("log.staleness_bound_seconds", SettingType.WHOLE, "900",
			"How long a daemon that reaches neither the log nor a peer that does serves on, in seconds."),

	/** Where the instance list is. */
	INSTANCES_ADDRESS("instances.address", SettingType.ADDRESS, null, "Address of the platform's instance list."),

	/** The pool of daemons. */
	INSTANCES_DAEMON_POOL("instances.daemon_pool", SettingType.TEXT, "pistachioline",
			"Pool under which the instance list has the daemons."),

	/** The interval of probes. */
	PROBES_INTERVAL_MILLIS("probes.interval_millis", SettingType.WHOLE, "500",
			"Time between two probes of a group's members, in milliseconds."),

	/** The presence bound. */
	PROBES_PRESENCE_BOUND_MILLIS("probes.presence_bound_millis", SettingType.WHOLE, "2500",
			"Age at which a member's last proof of presence no longer counts, in milliseconds."),

	/** The form of logs. */
	LOGGING_FORMAT("logging.format", SettingType.LOG_FORMAT, "console", "Form of the log lines."),

	/** Where traces go. */
	TRACE_RECORD("trace.record", SettingType.FLAG, "false",
			"Whether recent requests are kept for /debug/trace, without prompts and keys.");

	private final String key;

	private final SettingType type;

	private final String absent;

	private final String description;

	Setting(String key, SettingType type, String absent, String description) {
		this.key = key;
		this.type = type;
		this.absent = absent;
		this.description = description;
	}

	/**
	 * Returns the key, as a dotted path.
	 * @return the key
	 */
	public String key() {
		return this.key;
	}

	/**
	 * Returns the type.
	 * @return the type
	 */
	public SettingType type() {
		return this.type;
	}

	/**
	 * Returns the value where the file has none.
	 * @return the default in text form; null where the setting is required
	 */
	public String absent() {
		return this.absent;
	}

	/**
	 * Returns the description.
	 * @return a sentence
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns the release that brought the setting.
	 * @return the version
	 */
	public String since() {
		return "0.1.0";
	}

}
