package org.pistachioline.adapters.web;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The header fields of one message, in their order. Names are told apart without regard
 * to case. A value has a character for each octet; {@link HeaderText} converts others.
 */
public final class HeaderFields {

	/**
	 * Memory of a field besides its characters: two strings, their arrays and entries,
	 * also in the codec's own list.
	 */
	private static final int FIELD_BYTES = 256;

	/** No header fields. */
	public static final HeaderFields EMPTY = new HeaderFields(List.of());

	private final List<Field> fields;

	private HeaderFields(List<Field> fields) {
		this.fields = List.copyOf(fields);
	}

	/**
	 * Creates header fields.
	 * @param namesAndValues names and values by turns
	 * @return the fields
	 */
	public static HeaderFields of(String... namesAndValues) {
		final List<Field> fields = new ArrayList<>();
		for (int i = 0; i < namesAndValues.length; i += 2) {
			fields.add(new Field(namesAndValues[i], namesAndValues[i + 1]));
		}
		return new HeaderFields(fields);
	}

	static HeaderFields of(HttpHeaders decoded) {
		final List<Field> fields = new ArrayList<>(decoded.size());
		for (final Map.Entry<String, String> entry : decoded) {
			fields.add(new Field(entry.getKey(), entry.getValue()));
		}
		return new HeaderFields(fields);
	}

	HttpHeaders toNetty() {
		final HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
		this.fields.forEach((field) -> headers.add(field.name(), field.value()));
		return headers;
	}

	/**
	 * Returns the value of the first field with a name.
	 * @param name the name
	 * @return the value; empty where there is no such field
	 */
	public Optional<String> first(String name) {
		for (final Field field : this.fields) {
			if (field.name().equalsIgnoreCase(name)) {
				return Optional.of(field.value());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns how many fields have a name.
	 * @param name the name
	 * @return the number of fields
	 */
	public int count(String name) {
		return (int) this.fields.stream().filter((field) -> field.name().equalsIgnoreCase(name)).count();
	}

	/**
	 * Returns these fields without some.
	 * @param dropped tells by the name whether a field is left out
	 * @return the others
	 */
	public HeaderFields without(Predicate<String> dropped) {
		final List<Field> kept = new ArrayList<>(this.fields.size());
		for (final Field field : this.fields) {
			if (!dropped.test(field.name())) {
				kept.add(field);
			}
		}
		return new HeaderFields(kept);
	}

	/**
	 * Returns these fields and further ones behind them.
	 * @param namesAndValues names and values by turns
	 * @return all of them
	 */
	public HeaderFields with(String... namesAndValues) {
		final List<Field> all = new ArrayList<>(this.fields);
		all.addAll(of(namesAndValues).fields);
		return new HeaderFields(all);
	}

	/**
	 * Returns about how much memory the fields take up.
	 * @return the estimate, in bytes
	 */
	public int memoryBytes() {
		int bytes = 0;
		for (final Field field : this.fields) {
			bytes += FIELD_BYTES + field.name().length() + field.value().length();
		}
		return bytes;
	}

	@Override
	public String toString() {
		// Values may hold keys, which must not get into a log.
		return "HeaderFields" + this.fields.stream().map(Field::name).toList();
	}

	/**
	 * One field.
	 *
	 * @param name its name
	 * @param value its value, with a character for each octet
	 */
	private record Field(String name, String value) {

		Field {
			HeaderText.requireOctets(value);
		}

	}

}
