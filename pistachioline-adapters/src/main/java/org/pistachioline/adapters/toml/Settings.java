package org.pistachioline.adapters.toml;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The checked settings of one daemon.
 */
public final class Settings {

	private static final Pattern ADDRESS = Pattern.compile("[^\\s:]+:\\d{1,5}");

	private static final int MAX_PORT = 65_535;

	private final Map<Setting, Object> values;

	private Settings(Map<Setting, Object> values) {
		this.values = Map.copyOf(values);
	}

	/**
	 * Reads settings.
	 * @param file the file's name, for messages
	 * @param text the TOML text
	 * @return the settings
	 * @throws InvalidInputException if anything is wrong with them; it names all faults
	 */
	public static Settings read(String file, String text) throws InvalidInputException {
		final TomlReader toml = TomlReader.parse(file, text);
		checkKeys(toml);
		final Map<Setting, Object> values = new EnumMap<>(Setting.class);
		for (final Setting setting : Setting.values()) {
			values.put(setting, valueOf(toml, setting));
		}
		checkTls(toml, values);
		if (!toml.faults().isEmpty()) {
			throw new InvalidInputException(file, toml.faults());
		}
		return new Settings(values);
	}

	// With one of the three missing the links would silently be open to all.
	private static void checkTls(TomlReader toml, Map<Setting, Object> values) {
		final List<Setting> all = List.of(Setting.PEERS_TLS_CERTIFICATE, Setting.PEERS_TLS_KEY,
				Setting.PEERS_TLS_TRUST);
		final long set = all.stream().filter((setting) -> !"".equals(values.get(setting))).count();
		for (final Setting setting : all) {
			if (set > 0 && "".equals(values.get(setting))) {
				toml.table(tableOf(setting))
					.fault(nameOf(setting), "nothing", "a file, as others of peers.tls_* are set");
			}
		}
	}

	private static void checkKeys(TomlReader toml) {
		final Map<String, Set<String>> keysByTable = new HashMap<>();
		for (final Setting setting : Setting.values()) {
			keysByTable.computeIfAbsent(tableOf(setting), (table) -> new HashSet<>()).add(nameOf(setting));
		}
		toml.onlyKeys(keysByTable.keySet());
		keysByTable.forEach((table, keys) -> toml.table(table).onlyKeys(keys));
	}

	private static Object valueOf(TomlReader toml, Setting setting) {
		final TomlReader table = toml.table(tableOf(setting));
		final String name = nameOf(setting);
		return switch (setting.type()) {
			case WHOLE -> whole(table, name, setting);
			case FLAG -> table.flag(name, Boolean.parseBoolean(setting.absent()));
			case ADDRESSES -> addresses(table, name);
			case ADDRESS -> address(table, name, table.text(name, setting.absent()));
			case LOG_FORMAT -> oneOf(table, name, table.text(name, setting.absent()), List.of("console", "json"));
			case TEXT -> nonEmpty(table, name, table.text(name, setting.absent()));
		};
	}

	private static long whole(TomlReader table, String name, Setting setting) {
		final long value = table.whole(name, Long.valueOf(setting.absent()));
		if (value < 1 || value > Integer.MAX_VALUE) {
			table.fault(name, Long.toString(value), "1 to " + Integer.MAX_VALUE);
		}
		return value;
	}

	private static List<String> addresses(TomlReader table, String name) {
		final List<String> values = new ArrayList<>();
		for (final String value : table.texts(name)) {
			values.add(address(table, name, value));
		}
		return List.copyOf(values);
	}

	private static String address(TomlReader table, String name, String value) {
		final boolean formed = ADDRESS.matcher(value).matches()
				&& Integer.parseInt(value.substring(value.indexOf(':') + 1)) <= MAX_PORT;
		if (!formed && table.has(name)) {
			table.fault(name, "'" + value + "'", "host:port, with a port of 0 to 65535");
		}
		return value;
	}

	private static String oneOf(TomlReader table, String name, String value, List<String> allowed) {
		if (!allowed.contains(value)) {
			table.fault(name, "'" + value + "'", "one of " + allowed);
		}
		return value;
	}

	private static String nonEmpty(TomlReader table, String name, String value) {
		if (value.isEmpty() && table.has(name)) {
			table.fault(name, "an empty string", "a text that is not empty");
		}
		return value;
	}

	/**
	 * Returns a setting that is text.
	 * @param setting the setting
	 * @return its value
	 */
	public String text(Setting setting) {
		return (String) this.values.get(setting);
	}

	/**
	 * Returns a setting that is a whole number.
	 * @param setting the setting
	 * @return its value
	 */
	public long whole(Setting setting) {
		return (Long) this.values.get(setting);
	}

	/**
	 * Returns a setting that is true or false.
	 * @param setting the setting
	 * @return its value
	 */
	public boolean flag(Setting setting) {
		return (Boolean) this.values.get(setting);
	}

	/**
	 * Returns a setting that is a list of addresses.
	 * @param setting the setting
	 * @return its value
	 */
	public List<String> texts(Setting setting) {
		final List<String> texts = new ArrayList<>();
		for (final Object element : (List<?>) this.values.get(setting)) {
			texts.add((String) element);
		}
		return List.copyOf(texts);
	}

	private static String tableOf(Setting setting) {
		return setting.key().substring(0, setting.key().indexOf('.'));
	}

	private static String nameOf(Setting setting) {
		return setting.key().substring(setting.key().indexOf('.') + 1);
	}

}
