package org.pistachioline.adapters.toml;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import org.pistachioline.adapters.text.TextBounds;
import org.pistachioline.core.manifest.Fault;

/**
 * Reads one TOML table, key by key, and collects what is wrong with it.
 */
final class TomlReader {

	private static final TomlFactory TOML = TomlFactory.builder().streamReadConstraints(TextBounds.CONSTRAINTS).build();

	private final JsonNode node;

	private final String place;

	private final List<Fault> faults;

	private TomlReader(JsonNode node, String place, List<Fault> faults) {
		this.node = node;
		this.place = place;
		this.faults = faults;
	}

	static TomlReader parse(String file, String toml) throws InvalidInputException {
		try {
			return new TomlReader(new TomlMapper(TOML).readTree(toml), "", new ArrayList<>());
		}
		catch (JacksonException ex) {
			final String place = (ex.getLocation() != null) ? "line " + ex.getLocation().getLineNr() : "line unknown";
			throw new InvalidInputException(file, List.of(new Fault(place, ex.getOriginalMessage(), "valid TOML")));
		}
	}

	List<Fault> faults() {
		return this.faults;
	}

	// A mistyped key would be ignored otherwise, and its default would rule unseen.
	void onlyKeys(Set<String> known) {
		final Iterator<String> names = this.node.fieldNames();
		while (names.hasNext()) {
			final String name = names.next();
			if (!known.contains(name)) {
				fault(name, "an unknown key", "one of " + known);
			}
		}
	}

	boolean has(String key) {
		return this.node.has(key);
	}

	TomlReader table(String key) {
		final JsonNode child = this.node.path(key);
		if (!child.isMissingNode() && !child.isObject()) {
			fault(key, kindOf(child), "a table");
		}
		return new TomlReader(child, this.place + key + ".", this.faults);
	}

	List<TomlReader> tables(String key) {
		final JsonNode child = this.node.path(key);
		final List<TomlReader> readers = new ArrayList<>();
		if (!child.isMissingNode() && !child.isArray()) {
			fault(key, kindOf(child), "an array of tables");
			return readers;
		}
		int index = 0;
		for (final JsonNode element : child) {
			final String elementPlace = this.place + key + "[" + index + "]";
			if (element.isObject()) {
				readers.add(new TomlReader(element, elementPlace + ".", this.faults));
			}
			else {
				this.faults.add(new Fault(elementPlace, kindOf(element), "a table"));
			}
			index++;
		}
		return readers;
	}

	String text(String key, String absent) {
		final JsonNode child = this.node.path(key);
		if (child.isMissingNode()) {
			return absentOr(key, absent, "a string");
		}
		if (!child.isTextual()) {
			fault(key, kindOf(child), "a string");
			return "";
		}
		return child.asText();
	}

	List<String> texts(String key) {
		final JsonNode child = this.node.path(key);
		final List<String> values = new ArrayList<>();
		if (!child.isMissingNode() && !child.isArray()) {
			fault(key, kindOf(child), "an array of strings");
			return values;
		}
		for (final JsonNode element : child) {
			if (element.isTextual()) {
				values.add(element.asText());
			}
			else {
				fault(key, kindOf(element), "strings only");
			}
		}
		return values;
	}

	long whole(String key, Long absent) {
		final JsonNode child = this.node.path(key);
		if (child.isMissingNode()) {
			return absentNumberOr(key, absent, "a whole number").longValue();
		}
		if (!child.isIntegralNumber() || !child.canConvertToLong()) {
			fault(key, kindOf(child), "a whole number");
			return 1;
		}
		return child.asLong();
	}

	double number(String key, Double absent) {
		final JsonNode child = this.node.path(key);
		if (child.isMissingNode()) {
			return absentNumberOr(key, absent, "a number").doubleValue();
		}
		if (!child.isNumber()) {
			fault(key, kindOf(child), "a number");
			return 1;
		}
		return child.asDouble();
	}

	boolean flag(String key, boolean absent) {
		final JsonNode child = this.node.path(key);
		if (child.isMissingNode()) {
			return absent;
		}
		if (!child.isBoolean()) {
			fault(key, kindOf(child), "true or false");
		}
		return child.asBoolean();
	}

	void fault(String key, String found, String allowed) {
		this.faults.add(new Fault(this.place + key, found, allowed));
	}

	private String absentOr(String key, String absent, String allowed) {
		if (absent != null) {
			return absent;
		}
		fault(key, "nothing", allowed);
		return "";
	}

	private Number absentNumberOr(String key, Number absent, String allowed) {
		if (absent != null) {
			return absent;
		}
		fault(key, "nothing", allowed);
		return 1;
	}

	private static String kindOf(JsonNode child) {
		return switch (child.getNodeType()) {
			case STRING -> "a string";
			case NUMBER -> "the number " + child.asText();
			case BOOLEAN -> child.asText();
			case ARRAY -> "an array";
			case OBJECT -> "a table";
			default -> "nothing";
		};
	}

}
