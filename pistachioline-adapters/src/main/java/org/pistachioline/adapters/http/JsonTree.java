package org.pistachioline.adapters.http;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.pistachioline.adapters.text.TextBounds;

/**
 * Reads JSON into trees and writes trees as JSON.
 * <p>
 * It goes from tokens to nodes without a mapper, whose inspection of types by reflection
 * a process pays for at its first message, while its callers wait.
 * <p>
 * The texts come from outside, and one that nobody expects must not end the process. So
 * their depth, size and numbers are bounded, well above what any legitimate message
 * needs. The reader is recursive, and the bound on the depth is what keeps it within the
 * small stacks of the daemon's threads; Jackson's own bound of 1,000 levels does not.
 */
public final class JsonTree {

	/**
	 * The most values of a text, objects and arrays included. Each takes some 50 bytes of
	 * memory, however short its text is.
	 */
	static final int MAX_VALUES = 200_000;

	/** The longest text. The longest one expected is a page of the store, of 1.5 MB. */
	static final int MAX_BYTES = 8 * 1024 * 1024;

	private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(TextBounds.CONSTRAINTS).build();

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private JsonTree() {
	}

	/**
	 * Creates an object to be filled.
	 * @return an empty object
	 */
	public static ObjectNode object() {
		return NODES.objectNode();
	}

	/**
	 * Reads a tree.
	 * @param json the JSON text in UTF-8
	 * @return the tree; a missing node where there is no text
	 * @throws IOException if it is no JSON, or exceeds a bound
	 */
	public static JsonNode read(byte[] json) throws IOException {
		if (json.length > MAX_BYTES) {
			throw new IOException("The text has " + json.length + " bytes, more than " + MAX_BYTES);
		}
		try (JsonParser parser = JSON.createParser(json)) {
			return (parser.nextToken() == null) ? MissingNode.getInstance() : new JsonTreeBuilder(parser).value();
		}
	}

	/**
	 * Writes a tree.
	 * @param tree the tree
	 * @return the JSON text
	 */
	public static String write(JsonNode tree) {
		final StringWriter text = new StringWriter();
		try (JsonGenerator json = JSON.createGenerator(text)) {
			write(json, tree);
		}
		catch (IOException ex) {
			// A writer in memory does not fail.
			throw new UncheckedIOException(ex);
		}
		return text.toString();
	}

	private static void write(JsonGenerator json, JsonNode node) throws IOException {
		switch (node.getNodeType()) {
			case OBJECT -> {
				json.writeStartObject();
				for (final Map.Entry<String, JsonNode> field : node.properties()) {
					json.writeFieldName(field.getKey());
					write(json, field.getValue());
				}
				json.writeEndObject();
			}
			case ARRAY -> {
				json.writeStartArray();
				for (final JsonNode item : node) {
					write(json, item);
				}
				json.writeEndArray();
			}
			case STRING -> json.writeString(node.textValue());
			case BOOLEAN -> json.writeBoolean(node.booleanValue());
			case NUMBER -> writeNumber(json, node);
			default -> json.writeNull();
		}
	}

	private static void writeNumber(JsonGenerator json, JsonNode node) throws IOException {
		if (node.isIntegralNumber()) {
			json.writeNumber(node.bigIntegerValue());
		}
		else {
			json.writeNumber(node.doubleValue());
		}
	}

}
