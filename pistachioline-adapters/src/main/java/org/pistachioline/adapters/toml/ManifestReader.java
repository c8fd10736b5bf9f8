package org.pistachioline.adapters.toml;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Fault;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ManifestValidator;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.OperationSpec;
import org.pistachioline.core.manifest.PoolKind;
import org.pistachioline.core.manifest.PoolSpec;
import org.pistachioline.core.manifest.ServiceSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.record.ManifestProposal;

/**
 * Reads a manifest from TOML; docs/MANIFEST.md lists the keys.
 */
public final class ManifestReader {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final double DEFAULT_LOADS_PER_MINUTE = 60;

	private static final long DEFAULT_CONCURRENT_REQUESTS = 8;

	private static final double DEFAULT_TIMEOUT_SECONDS = 10;

	private static final double DEFAULT_KEY_LIFETIME_SECONDS = 3_600;

	private final TomlReader toml;

	private ManifestReader(TomlReader toml) {
		this.toml = toml;
	}

	/**
	 * Reads a manifest.
	 * @param file the file's name, for messages
	 * @param text the TOML text
	 * @return the proposal that it makes
	 * @throws InvalidInputException if anything is wrong with it; it names all faults
	 */
	public static ManifestProposal read(String file, String text) throws InvalidInputException {
		final TomlReader toml = TomlReader.parse(file, text);
		final ManifestProposal proposal = new ManifestReader(toml).proposal();
		final List<Fault> faults = new ArrayList<>(toml.faults());
		final Set<String> places = faults.stream().map(Fault::path).collect(Collectors.toSet());
		// A pool of a kind that cannot be read would make every use of it look wrong too.
		final boolean kindUnread = places.stream().anyMatch((place) -> place.endsWith("].kind"));
		for (final Fault fault : ManifestValidator.validate(proposal.manifest())) {
			if (!places.contains(fault.path()) && !(kindUnread && fault.path().endsWith("].pool"))) {
				faults.add(fault);
			}
		}
		if (!faults.isEmpty()) {
			throw new InvalidInputException(file, faults);
		}
		return proposal;
	}

	private ManifestProposal proposal() {
		this.toml.onlyKeys(ManifestKey.under(""));
		final long baseVersion = this.toml.whole("base_version", null);
		if (baseVersion < 0) {
			this.toml.fault("base_version", Long.toString(baseVersion), "0 or more");
		}
		final List<PoolSpec> pools = this.toml.tables("pools").stream().map(ManifestReader::pool).toList();
		final List<ModelSpec> models = this.toml.tables("models").stream().map(ManifestReader::model).toList();
		final List<ServiceSpec> services = this.toml.tables("services").stream().map(ManifestReader::service).toList();
		final List<WorkspaceSpec> workspaces = this.toml.tables("workspaces")
			.stream()
			.map(ManifestReader::workspace)
			.toList();
		return new ManifestProposal(baseVersion,
				new Manifest(pools, models, services, workspaces, weights(), deadlines()));
	}

	private WeightSpec weights() {
		final TomlReader table = this.toml.table("weights");
		table.onlyKeys(ManifestKey.under("weights"));
		return new WeightSpec(table.number("group_downtime", WeightSpec.DEFAULT.groupDowntime()),
				table.number("stranded_accelerators", WeightSpec.DEFAULT.strandedAccelerators()));
	}

	private DeadlineSpec deadlines() {
		final TomlReader table = this.toml.table("deadlines");
		table.onlyKeys(ManifestKey.under("deadlines"));
		return new DeadlineSpec(
				millis(table, "first_token_seconds",
						DeadlineSpec.DEFAULT.firstTokenMillis() / (double) MILLIS_PER_SECOND),
				millis(table, "total_seconds", DeadlineSpec.DEFAULT.totalMillis() / (double) MILLIS_PER_SECOND));
	}

	private static PoolSpec pool(TomlReader table) {
		table.onlyKeys(ManifestKey.under("pools"));
		final String kindName = table.text("kind", null);
		final PoolKind kind = PoolKind.byManifestName(kindName).orElse(PoolKind.SERVICE);
		if (!kind.manifestName().equals(kindName) && table.has("kind")) {
			table.fault("kind", "'" + kindName + "'", "engine or service");
		}
		return new PoolSpec(table.text("name", null), kind, table.flag("checks_fencing", false),
				table.number("weight_store_loads_per_minute", DEFAULT_LOADS_PER_MINUTE));
	}

	private static ModelSpec model(TomlReader table) {
		table.onlyKeys(ManifestKey.under("models"));
		final int minReplicas = wholeInt(table, "min_replicas", 1L);
		return new ModelSpec(table.text("name", null), table.text("pool", null), wholeInt(table, "members", null),
				minReplicas, wholeInt(table, "max_replicas", (long) minReplicas),
				wholeInt(table, "max_concurrent_requests", DEFAULT_CONCURRENT_REQUESTS));
	}

	private static ServiceSpec service(TomlReader table) {
		table.onlyKeys(ManifestKey.under("services"));
		final List<OperationSpec> operations = table.tables("operations")
			.stream()
			.map(ManifestReader::operation)
			.toList();
		return new ServiceSpec(table.text("name", null), table.text("pool", null),
				millis(table, "timeout_seconds", DEFAULT_TIMEOUT_SECONDS), operations);
	}

	private static OperationSpec operation(TomlReader table) {
		table.onlyKeys(ManifestKey.under("services.operations"));
		return new OperationSpec(table.text("method", null), table.text("path_prefix", null),
				table.flag("idempotent", true), millis(table, "key_lifetime_seconds", DEFAULT_KEY_LIFETIME_SECONDS));
	}

	private static WorkspaceSpec workspace(TomlReader table) {
		table.onlyKeys(ManifestKey.under("workspaces"));
		return new WorkspaceSpec(table.text("name", null), table.texts("key_sha256"),
				table.number("requests_per_second", null), table.whole("tokens_in_flight", null),
				wholeInt(table, "queued_requests", null), table.number("weight", 1.0), table.texts("models"),
				table.texts("services"));
	}

	private static long millis(TomlReader table, String key, Double absentSeconds) {
		return Math.round(table.number(key, absentSeconds) * MILLIS_PER_SECOND);
	}

	private static int wholeInt(TomlReader table, String key, Long absent) {
		final long value = table.whole(key, absent);
		if (value != (int) value) {
			table.fault(key, Long.toString(value), "a whole number of at most " + Integer.MAX_VALUE);
			return 1;
		}
		return (int) value;
	}

}
