package org.pistachioline.daemon.relay;

import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;

import static org.assertj.core.api.Assertions.assertThat;

class RequestFingerprintTests {

	private static final String FIRST = RequestFingerprint.of(request("r1", "POST", "/copy/1", "prompt", "shop"));

	private static RelayedRequest request(String requestId, String method, String target, String body,
			String workspace) {
		final RequestMetadata head = new RequestMetadata(requestId, OptionalLong.of(8_000), Optional.of("key"),
				Optional.empty(), 100, 60, Optional.of("3"));
		return new RelayedRequest(head, method, target, HeaderFields.EMPTY.with("X-Request", requestId), Body.of(body),
				Optional.of(workspace).filter((name) -> !name.isEmpty()));
	}

	@Test
	void aRetryWithAnotherRequestIdHasTheSameFingerprint() {
		assertThat(RequestFingerprint.of(request("r2", "POST", "/copy/1", "prompt", "shop"))).isEqualTo(FIRST);
		assertThat(FIRST).matches("[0-9a-f]{32}");
	}

	@Test
	void anotherMethodPathBodyOrWorkspaceChangesTheFingerprint() {
		assertThat(RequestFingerprint.of(request("r1", "PUT", "/copy/1", "prompt", "shop"))).isNotEqualTo(FIRST);
		assertThat(RequestFingerprint.of(request("r1", "POST", "/copy/2", "prompt", "shop"))).isNotEqualTo(FIRST);
		assertThat(RequestFingerprint.of(request("r1", "POST", "/copy/1", "prompt2", "shop"))).isNotEqualTo(FIRST);
		assertThat(RequestFingerprint.of(request("r1", "POST", "/copy/1", "prompt", "yard"))).isNotEqualTo(FIRST);
		assertThat(RequestFingerprint.of(request("r1", "POST", "/copy/1", "prompt", ""))).isNotEqualTo(FIRST);
	}

	/**
	 * Guards against a caller who moves bytes from one part of its request to another, to
	 * look like somebody else's.
	 */
	@Test
	void movingBytesBetweenPartsChangesTheFingerprint() {
		assertThat(RequestFingerprint.of(request("r1", "POST", "/copy/1s", "prompt", "hop"))).isNotEqualTo(FIRST);
		assertThat(RequestFingerprint.of(request("r1", "POST", "/copy/1", "pprompt", "sho"))).isNotEqualTo(FIRST);
	}

}
