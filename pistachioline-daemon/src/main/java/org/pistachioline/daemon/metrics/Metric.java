package org.pistachioline.daemon.metrics;

/**
 * The metrics that a daemon shows beside those of its virtual machine; docs/METRICS.md
 * holds one row for each.
 */
public enum Metric {

	/** Requests that have not ended. */
	REQUESTS_HELD("pistachioline_requests_held", "requests", "Requests that have not ended.",
			"near the groups' limits: demand meets capacity"),

	/** Requests that wait. */
	REQUESTS_QUEUED("pistachioline_requests_queued", "requests", "Requests that wait for a target.",
			"above 0 for a minute: callers wait"),

	/** Requests that failed. */
	REQUESTS_FAILED("pistachioline_requests_failed_total", "requests by kind", "Requests that ended with a failure.",
			"queue_full, no_capacity or target_failed rising"),

	/** Requests that are quarantined. */
	REQUESTS_QUARANTINED("pistachioline_requests_quarantined", "requests",
			"Requests that are sent nowhere, since targets died under them.", "above 0"),

	/** Messages in rings. */
	RING_MESSAGES("pistachioline_ring_messages", "messages by ring", "Messages that wait in a ring between duties.",
			"above half of its capacity"),

	/** Refusals of rings. */
	RING_REFUSED("pistachioline_ring_refused_total", "times by ring", "Times that a ring had no room.", "rising"),

	/** Answers that were dropped. */
	ANSWERS_DROPPED("pistachioline_answers_dropped", "answers", "Answers that did not match a live attempt.",
			"rising: an engine mixes up answers"),

	/** Targets that name a limit. */
	TARGETS_LIMITED("pistachioline_targets_limited", "targets", "Targets that name a limit.",
			"most of a service's targets: it takes less than its slots"),

	/** Attempts at targets that name a limit. */
	ATTEMPTS_LIMITED("pistachioline_attempts_limited", "attempts",
			"Attempts of the last four seconds at targets that name a limit.",
			"over all daemons above four times the limits"),

	/** Targets that want no requests. */
	TARGETS_BACKOFF("pistachioline_targets_backoff", "targets", "Targets that want no requests of this daemon.",
			"most of a service's targets"),

	/** Attempts at targets that want none. */
	ATTEMPTS_BACKOFF("pistachioline_attempts_backoff", "attempts",
			"Attempts that were started at targets while they wanted no requests.", "above 0"),

	/** The configuration's version. */
	CONFIG_VERSION("pistachioline_config_version", "version", "Version of the configuration in force.",
			"unlike on other daemons for 10 s"),

	/** The age of the list of instances. */
	LISTING_AGE("pistachioline_listing_age", "ms", "Time since the platform was asked for the known list of instances.",
			"above half of the time in which a draining instance must be left"),

	/** Whether this daemon reads the list for others. */
	LISTING_READER("pistachioline_listing_reader", "0 or 1", "1 where this daemon reads the list for others.",
			"0 on all daemons"),

	/** The configuration's age. */
	CONFIG_AGE("pistachioline_config_age", "ms", "Time since the configuration was known to be fresh.",
			"above 60 000: neither the log nor a fresh daemon is reached"),

	/** Live daemons. */
	PEERS_LIVE("pistachioline_peers_live", "daemons", "Live daemons, this one included.",
			"unlike the number that runs"),

	/** Connections with daemons. */
	PEER_CONNECTIONS("pistachioline_peer_connections", "connections", "Open connections with other daemons.",
			"0 while others run"),

	/** Bytes to daemons. */
	PEER_BYTES_SENT("pistachioline_peer_bytes_sent_total", "bytes by kind",
			"Bytes of frames sent, without TCP and TLS.", "above 11 000 a second in all kinds"),

	/** Bytes from daemons. */
	PEER_BYTES_RECEIVED("pistachioline_peer_bytes_received_total", "bytes by kind",
			"Bytes of frames received, without TCP and TLS.", "above 11 000 a second in all kinds"),

	/** Frames to daemons. */
	PEER_FRAMES_SENT("pistachioline_peer_frames_sent_total", "frames by kind", "Frames sent.", "none"),

	/** Frames from daemons. */
	PEER_FRAMES_RECEIVED("pistachioline_peer_frames_received_total", "frames by kind", "Frames received.", "none"),

	/** Appends. */
	LOG_APPENDS("pistachioline_log_appends", "appends", "Appends sent to the log.",
			"all daemons together near the log's limit"),

	/** Refused appends. */
	LOG_APPENDS_REFUSED("pistachioline_log_appends_refused", "appends", "Appends that the log refused.",
			"rising: the log's limit is met, or it is down"),

	/** Ambiguous appends. */
	LOG_APPENDS_AMBIGUOUS("pistachioline_log_appends_ambiguous", "appends", "Appends that lost their answer.",
			"rising: the way to the log drops answers"),

	/** Held appends. */
	LOG_APPENDS_HELD("pistachioline_log_appends_held", "times", "Times that an append waited for this daemon's share.",
			"rising fast: claims wait"),

	/** Skipped entries. */
	LOG_ENTRIES_SKIPPED("pistachioline_log_entries_skipped", "entries", "Broken entries that were skipped.", "above 0"),

	/** Calls to the store of the users' platform. */
	STORE_CALLS("pistachioline_store_calls_total", "calls by kind",
			"Calls to the platform's store: all, and those that failed.", "failed rising: the store is away"),

	/** The store's era. */
	STORE_ERA("pistachioline_store_era", "number", "How often the platform's store came back from a copy.",
			"rising: what was written shortly before is lost there"),

	/** Entries of the instance list that were ignored. */
	STORE_ENTRIES("pistachioline_store_entries_total", "entries by kind",
			"Entries of the instance list that name no instance and were ignored.",
			"rising: something else writes into the list"),

	/** Calls. */
	CALLS("pistachioline_calls_total", "calls by kind", "Calls to the platform and to targets.", "none"),

	/** Bytes of calls. */
	CALL_BYTES_SENT("pistachioline_call_bytes_sent_total", "bytes by kind", "Bytes of calls sent; heads are estimated.",
			"control kinds above 11 000 a second"),

	/** Bytes of answers. */
	CALL_BYTES_RECEIVED("pistachioline_call_bytes_received_total", "bytes by kind",
			"Bytes of answers received; heads are estimated.", "control kinds above 11 000 a second");

	private final String prometheusName;

	private final String unit;

	private final String description;

	private final String alertHint;

	Metric(String prometheusName, String unit, String description, String alertHint) {
		this.prometheusName = prometheusName;
		this.unit = unit;
		this.description = description;
		this.alertHint = alertHint;
	}

	/**
	 * Returns the metric's row in docs/METRICS.md.
	 * @return the row
	 */
	public String row() {
		return "| `" + this.prometheusName + "` | " + this.unit + " | " + this.description + " | " + this.alertHint
				+ " |";
	}

}
