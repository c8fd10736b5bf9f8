package org.pistachioline.adapters.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.pistachioline.adapters.text.TextBounds;

/**
 * The one JSON mapper: snake case, unknown properties ignored.
 */
public final class Json {

	/** The shared mapper; it is safe for use by many threads. */
	public static final ObjectMapper MAPPER = JsonMapper
		.builder(JsonFactory.builder().streamReadConstraints(TextBounds.CONSTRAINTS).build())
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private Json() {
	}

	/**
	 * Writes a value as JSON.
	 * @param value the value
	 * @return the JSON text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes a value as JSON bytes.
	 * @param value the value
	 * @return the JSON text in UTF-8
	 */
	public static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a value from JSON bytes.
	 * @param <T> the value's type
	 * @param json the JSON text in UTF-8
	 * @param type the value's type
	 * @return the value
	 */
	public static <T> T read(byte[] json, Class<T> type) {
		try {
			return MAPPER.readValue(json, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads JSON bytes as a tree.
	 * @param json the JSON text in UTF-8
	 * @return the tree
	 */
	public static JsonNode tree(byte[] json) {
		try {
			return MAPPER.readTree(json);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
