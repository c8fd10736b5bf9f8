package org.pistachioline.adapters.http;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builds the tree of one text from the tokens of its parser, which bounds the depth.
 */
final class JsonTreeBuilder {

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private final JsonParser parser;

	private int valueCount;

	JsonTreeBuilder(JsonParser parser) {
		this.parser = parser;
	}

	/**
	 * Builds the value that starts with the parser's current token.
	 * @return the value
	 * @throws IOException if it is no JSON, or exceeds a bound
	 */
	JsonNode value() throws IOException {
		this.valueCount++;
		if (this.valueCount > JsonTree.MAX_VALUES) {
			throw new IOException("The text has more than " + JsonTree.MAX_VALUES + " values");
		}
		return switch (this.parser.currentToken()) {
			case START_OBJECT -> object();
			case START_ARRAY -> array();
			case VALUE_STRING -> NODES.textNode(this.parser.getText());
			case VALUE_TRUE -> NODES.booleanNode(true);
			case VALUE_FALSE -> NODES.booleanNode(false);
			case VALUE_NUMBER_FLOAT -> NODES.numberNode(this.parser.getDoubleValue());
			case VALUE_NUMBER_INT -> whole();
			default -> NODES.nullNode();
		};
	}

	private JsonNode whole() throws IOException {
		return switch (this.parser.getNumberType()) {
			case INT -> NODES.numberNode(this.parser.getIntValue());
			case LONG -> NODES.numberNode(this.parser.getLongValue());
			default -> NODES.numberNode(this.parser.getBigIntegerValue());
		};
	}

	private ObjectNode object() throws IOException {
		final ObjectNode node = NODES.objectNode();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			final String name = this.parser.currentName();
			this.parser.nextToken();
			node.set(name, value());
		}
		return node;
	}

	private ArrayNode array() throws IOException {
		final ArrayNode node = NODES.arrayNode();
		while (this.parser.nextToken() != JsonToken.END_ARRAY) {
			node.add(value());
		}
		return node;
	}

}
