package org.pistachioline.standins;

import org.apache.pekko.util.ByteString;

/**
 * The server-sent events of an engine stand-in; the token at a position is always the
 * same, so that a lost or doubled one shows.
 */
final class EngineEvents {

	private EngineEvents() {
	}

	static ByteString token(EngineRequest request) {
		return ByteString.fromString("id: " + request.attemptId + ":" + request.position + "\ndata: {\"id\":\"c-"
				+ request.attemptId + "\",\"object\":\"chat.completion.chunk\",\"model\":\"" + request.model
				+ "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" w" + request.position
				+ "\"},\"finish_reason\":null}]}\n\n");
	}

	static ByteString end(EngineRequest request) {
		return ByteString.fromString("id: " + request.attemptId + ":end\ndata: {\"id\":\"c-" + request.attemptId
				+ "\",\"object\":\"chat.completion.chunk\",\"model\":\"" + request.model
				+ "\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":"
				+ request.promptTokens() + ",\"completion_tokens\":" + request.position + "}}\n\ndata: [DONE]\n\n");
	}

}
