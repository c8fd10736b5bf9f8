package org.pistachioline.daemon.metrics;

/**
 * Catalogue of the metrics that a daemon exposes besides those of its JVM. The table in
 * docs/METRICS.md is generated from it.
 */
public enum Metric {

	/** Gauge of the requests that the daemon holds, queued ones included. */
	REQUESTS_HELD("pistachioline_requests_held", "requests", "Requests that have not ended.",
			"near the groups' limits: demand reaches capacity"),

	/** Gauge of the requests that are queued. */
	REQUESTS_QUEUED("pistachioline_requests_queued", "requests", "Requests that wait for a target.",
			"above 0 for a minute: callers wait"),

	/** Counter by error code. */
	REQUESTS_FAILED("pistachioline_requests_failed_total", "requests by kind", "Requests that ended with a failure.",
			"queue_full, no_capacity or target_failed rising"),

	/** Counter by the reason that {@code PL-0513} names. */
	RESPONSES_INCOMPLETE("pistachioline_responses_incomplete_total", "responses by reason",
			"Responses to callers that the daemon ended without their being complete.", "rising while no target fails"),

	/** Gauge of connections since the start. */
	RESPONSES_OVERSIZED("pistachioline_responses_oversized", "connections",
			"Connections that were closed since a target sent more bytes than a response may have.", "rising"),

	/** Counter by the reason that {@code PL-0515} names. */
	RESPONSES_UNEXPECTED("pistachioline_responses_unexpected_total", "responses by reason",
			"Responses of targets that do not belong to the request on their connection.",
			"rising: a target answers twice"),

	/** Counter by the part that {@code PL-0517} names. */
	RESPONSES_MALFORMED("pistachioline_responses_malformed_total", "responses by part",
			"Responses of targets that break the grammar of HTTP and count as none.", "rising: a target is in trouble"),

	/** Gauge of the memory of responses that are not complete. */
	RESPONSES_KEPT("pistachioline_responses_kept", "bytes",
			"Responses, and events of streams, that are kept until they are complete.",
			"near a sixth of the heap: the largest are ended"),

	/** Gauge of the largest such memory since the start. */
	RESPONSES_KEPT_PEAK("pistachioline_responses_kept_peak", "bytes", "Most bytes that were kept so since the start.",
			"near a sixth of the heap"),

	/** Gauge of responses since the start. */
	RESPONSES_ENDED_FOR_SUM("pistachioline_responses_ended_for_sum", "responses",
			"Responses that were ended since all kept ones together were too large.",
			"rising: look for targets whose responses do not end"),

	/** Gauge of the requests that are known to crash targets. */
	REQUESTS_QUARANTINED("pistachioline_requests_quarantined", "requests",
			"Requests that are not sent to any target, since targets crashed under them.", "above 0"),

	/** Counter by the reason that {@code PL-0506} names. */
	REQUESTS_REFUSED_QUARANTINED("pistachioline_requests_refused_quarantined_total", "requests by reason",
			"Requests that were refused since they, or a part of their prompts, are quarantined.",
			"part_quarantined rising under many fingerprints: look whether the part is to blame"),

	/** Gauge by ring. */
	RING_MESSAGES("pistachioline_ring_messages", "messages by ring", "Messages that wait in a ring between duties.",
			"above half of its capacity"),

	/** Counter by ring; each retry of a blocked sender counts. */
	RING_REFUSED("pistachioline_ring_refused_total", "times by ring", "Times that a ring was full.", "rising"),

	/** Count of responses that named another attempt, or one that had ended. */
	ANSWERS_DROPPED("pistachioline_answers_dropped", "answers", "Responses that did not match a live attempt.",
			"rising: an engine mixes up responses"),

	/** Gauge of the targets with a request rate limit of their own. */
	TARGETS_LIMITED("pistachioline_targets_limited", "targets", "Targets that state a request rate limit.",
			"most of a service's targets: it accepts less than its slots"),

	/** Gauge over a sliding window, to compare with the stated limits. */
	ATTEMPTS_LIMITED("pistachioline_attempts_limited", "attempts",
			"Attempts of the last four seconds at targets that state a limit.",
			"over all daemons above four times the limits"),

	/** Gauge of the targets whose requests all daemons together pace. */
	TARGETS_COLD("pistachioline_targets_cold", "targets", "Targets that have not warmed up.",
			"most of a service's targets: it accepts less than its slots"),

	/** Gauge of the availability zones that operators evacuate. */
	ZONES_EVACUATED("pistachioline_zones_evacuated", "zones", "Availability zones that operators evacuate.",
			"not equal on all daemons for 5 s: compare their dumps"),

	/** Gauge of the targets that asked this daemon to back off. */
	TARGETS_BACKOFF("pistachioline_targets_backoff", "targets", "Targets that asked this daemon to back off.",
			"most of a service's targets"),

	/** Gauge of the models and services for which demand exceeds the room. */
	ADMISSION_RESTRICTED("pistachioline_admission_restricted", "names",
			"Models and services whose less urgent requests are refused.", "above 0 for a minute"),

	/** Gauge of refusals by all daemons. */
	ADMISSION_REFUSED_RATE("pistachioline_admission_refused_rate", "requests a second",
			"Refused requests per second of all daemons, as this daemon estimates them.", "above 0 for a minute"),

	/** Gauge of the work that callers ask for. */
	DEMAND_WANTED_SLOTS("pistachioline_demand_wanted_slots", "slots",
			"Slots that the requests of all daemons need, as this daemon estimates them.",
			"above the slots of the serving targets"),

	/** Count of impossible estimates since the start. */
	DEMAND_ESTIMATES_REJECTED("pistachioline_demand_estimates_rejected", "estimates",
			"Estimates of demand from peers that were impossible and not used.", "rising"),

	/** Gauge that shows whether backoffs are respected. */
	ATTEMPTS_BACKOFF("pistachioline_attempts_backoff", "attempts",
			"Attempts that were started at targets during their backoff.", "above 0"),

	/** Gauge over all models and services. */
	PLACEMENT_TARGETS("pistachioline_placement_targets", "targets",
			"Targets that this daemon prefers, where each daemon prefers a subset.",
			"0 while targets serve and daemons decide for the whole fleet"),

	/** Counter of attempts, where each daemon prefers a subset of the targets. */
	PLACEMENT_ATTEMPTS("pistachioline_placement_attempts_total", "attempts by kind",
			"Attempts: all, those beyond this daemon's subset, and those without an idle connection.",
			"beyond_subset above a tenth of all: subsets are full or fail; new_connection above a quarter"),

	/** Gauge of the targets that this daemon reaches through other daemons. */
	TARGETS_UNREACHABLE("pistachioline_targets_unreachable", "targets",
			"Targets that this daemon cannot connect to although another one can.",
			"above 0 for a minute: look at the network between this daemon and them"),

	/** Gauge of the tunnels of other daemons. */
	TUNNELS_OPEN("pistachioline_tunnels_open", "connections", "Open connections to targets on behalf of other daemons.",
			"near 512, the most that a daemon opens"),

	/** Count of the tunnels of other daemons since the start. */
	TUNNELS_ESTABLISHED("pistachioline_tunnels_established", "connections",
			"Connections to targets that were established on behalf of other daemons.",
			"rising: another daemon is partitioned from targets"),

	/** Gauge of the lag of the relay's event loop, the largest of the last seconds. */
	LOOP_LAG("pistachioline_loop_lag", "ms", "How late the loop that serves callers ran in the last seconds.",
			"above 500: this machine is short of processor time"),

	/** Gauge of the refusals since the start. */
	LOOP_REFUSED("pistachioline_loop_refused", "requests", "Requests refused because that loop ran late.",
			"rising on most daemons: add daemons or cores"),

	/** Gauge over the statuses that this daemon knows by gossip. */
	DAEMONS_LATE("pistachioline_daemons_late", "daemons", "Live daemons whose loop runs late, this one included.",
			"above a quarter of the daemons"),

	/** Gauge of the memory that callers take up. */
	CALLERS_HELD("pistachioline_callers_held", "bytes",
			"Requests without an answer, responses kept until complete, and answers that callers have not taken.",
			"near a third of the heap: new requests are refused"),

	/** Gauge of the manifest's or route table's version. */
	CONFIG_VERSION("pistachioline_config_version", "version", "Version of the configuration in force.",
			"differs from other daemons for 10 s"),

	/** Gauge of the newest version that this daemon or another one has. */
	CONFIG_NEWEST("pistachioline_config_newest", "version",
			"Newest version of the configuration that the daemon knows of.", "above pistachioline_config_version"),

	/** Gauge of the time since the daemon first heard of a version newer than its own. */
	CONFIG_BEHIND("pistachioline_config_behind", "ms",
			"Time for which the daemon has known of a newer configuration than its own; 0 if it does not.",
			"above 1,000: it gets the configuration neither from the store nor from other daemons"),

	/** Gauge of the age of the instance list, however it reached this daemon. */
	LISTING_AGE("pistachioline_listing_age", "ms",
			"Time since the known instance list was requested from the platform.",
			"above half of the time within which daemons must stop using a draining instance"),

	/** Gauge that is 1 on the daemons that read the list from the platform. */
	LISTING_READER("pistachioline_listing_reader", "0 or 1",
			"1 if this daemon reads the instance list on behalf of others.", "0 on all daemons"),

	/** Gauge of the age that the staleness bound limits. */
	CONFIG_AGE("pistachioline_config_age", "ms", "Time since the configuration was known to be fresh.",
			"above 60 000: neither the log nor an up-to-date daemon can be reached"),

	/** Gauge of the membership as this daemon sees it. */
	PEERS_LIVE("pistachioline_peers_live", "daemons", "Live daemons, this one included.",
			"differs from the number of running daemons"),

	/** Gauge of connections in both directions. */
	PEER_CONNECTIONS("pistachioline_peer_connections", "connections", "Open connections with other daemons.",
			"0 while others run"),

	/** Counter by kind of frame. */
	PEER_BYTES_SENT("pistachioline_peer_bytes_sent_total", "bytes by kind",
			"Bytes of frames sent, without TCP and TLS.", "above 11 000 a second in all kinds"),

	/** Counter by kind of frame. */
	PEER_BYTES_RECEIVED("pistachioline_peer_bytes_received_total", "bytes by kind",
			"Bytes of frames received, without TCP and TLS.", "above 11 000 a second in all kinds"),

	/** Counter by kind of frame. */
	PEER_FRAMES_SENT("pistachioline_peer_frames_sent_total", "frames by kind", "Frames sent to other daemons.", "none"),

	/** Counter by kind of frame. */
	PEER_FRAMES_RECEIVED("pistachioline_peer_frames_received_total", "frames by kind",
			"Frames received from other daemons.", "none"),

	/** Count of appends, retries included. */
	LOG_APPENDS("pistachioline_log_appends", "appends", "Appends sent to the log.",
			"sum over all daemons near the log's limit"),

	/** Count of rejected appends, which had no effect. */
	LOG_APPENDS_REFUSED("pistachioline_log_appends_refused", "appends", "Appends that the log refused.",
			"rising: the log's rate limit is reached, or it is down"),

	/** Count of appends that may have had an effect. */
	LOG_APPENDS_AMBIGUOUS("pistachioline_log_appends_ambiguous", "appends", "Appends whose response was lost.",
			"rising: the network to the log loses responses"),

	/** Count of appends delayed by the daemon's own rate limit. */
	LOG_APPENDS_HELD("pistachioline_log_appends_held", "times",
			"Times that an append waited for this daemon's share of the append rate.",
			"rising fast: claims are delayed"),

	/**
	 * Count of undecodable or oversize entries, and of those on which the reducer failed.
	 */
	LOG_ENTRIES_SKIPPED("pistachioline_log_entries_skipped", "entries", "Invalid entries of the log that were skipped.",
			"above 0"),

	/** Counter by kind: all, failed. */
	STORE_CALLS("pistachioline_store_calls_total", "calls by kind",
			"Calls to the platform's store: all, and those that failed.", "failed rising: the store is unavailable"),

	/** Counter of the calls to the platform's store, by purpose. */
	STORE_CALL_PURPOSES("pistachioline_store_calls_purposes_total", "calls by purpose",
			"Calls to the platform's store by what they are for: the list of instances, operators' requests, the lease.",
			"one of them rising with the number of daemons: daemons do not share what they read"),

	/** Gauge of the era that the store names, which rises with each restore. */
	STORE_ERA("pistachioline_store_era", "number",
			"Number of times that the platform's store was restored from a backup.",
			"rising: recent writes to the store are lost"),

	/** Counter by kind: unusable. */
	STORE_ENTRIES("pistachioline_store_entries_total", "entries by kind",
			"Entries of the instance list that do not describe an instance and were ignored.",
			"rising: another writer adds entries to the list"),

	/** Counter by kind of call. */
	CALLS("pistachioline_calls_total", "calls by kind", "Calls to the platform and to targets.", "none"),

	/** Counter by kind of call. */
	CALL_BYTES_SENT("pistachioline_call_bytes_sent_total", "bytes by kind",
			"Bytes of calls sent; the size of headers is estimated.", "control kinds above 11 000 a second"),

	/** Counter by kind of call. */
	CALL_BYTES_RECEIVED("pistachioline_call_bytes_received_total", "bytes by kind",
			"Bytes of responses received; the size of headers is estimated.", "control kinds above 11 000 a second");

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
	 * Returns the metric's row of the table in docs/METRICS.md.
	 * @return the row, as Markdown
	 */
	public String row() {
		return "| `" + this.prometheusName + "` | " + this.unit + " | " + this.description + " | " + this.alertHint
				+ " |";
	}

}
