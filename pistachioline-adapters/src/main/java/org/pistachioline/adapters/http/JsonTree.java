package org.pistachioline.adapters.http;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads JSON into trees and writes trees as JSON.
 * <p>
 * It goes from tokens to nodes without a mapper, whose inspection of types by reflection
 * a process pays for at its first message, while its callers wait.
 */
public final class JsonTree {

	private static final JsonFactory JSON = new JsonFactory();

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
	 * @throws IOException if it is no JSON
	 */
	public static JsonNode read(byte[] json) throws IOException {
		try (JsonParser parser = JSON.createParser(json)) {
			return (parser.nextToken() == null) ? MissingNode.getInstance() : value(parser);
		}
	}

	private static JsonNode value(JsonParser parser) throws IOException {
		return switch (parser.currentToken()) {
			case START_OBJECT -> object(parser);
			case START_ARRAY -> array(parser);
			case VALUE_STRING -> NODES.textNode(parser.getText());
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
			case VALUE_NUMBER_INT -> whole(parser);
			default -> NODES.nullNode();
		};
	}

	private static JsonNode whole(JsonParser parser) throws IOException {
		return switch (parser.getNumberType()) {
			case INT -> NODES.numberNode(parser.getIntValue());
			case LONG -> NODES.numberNode(parser.getLongValue());
			default -> NODES.numberNode(parser.getBigIntegerValue());
		};
	}

	private static ObjectNode object(JsonParser parser) throws IOException {
		final ObjectNode node = NODES.objectNode();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			final String name = parser.currentName();
			parser.nextToken();
			node.set(name, value(parser));
		}
		return node;
	}

	private static ArrayNode array(JsonParser parser) throws IOException {
		final ArrayNode node = NODES.arrayNode();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			node.add(value(parser));
		}
		return node;
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
