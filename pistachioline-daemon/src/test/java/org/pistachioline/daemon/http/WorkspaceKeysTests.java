package org.pistachioline.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;

import static org.assertj.core.api.Assertions.assertThat;

class WorkspaceKeysTests {

	private static final WorkspaceSpec SHOP = new WorkspaceSpec("shop",
			List.of(HexFormat.of().formatHex(DigestUtils.sha256("key".getBytes(StandardCharsets.UTF_8)))), 1, 1, 1, 1,
			List.of(), List.of());

	private static final Manifest MANIFEST = new Manifest(List.of(), List.of(), List.of(), List.of(SHOP),
			WeightSpec.DEFAULT, DeadlineSpec.DEFAULT);

	/** Guards against a key that is refused since its scheme is in another case. */
	@ParameterizedTest
	@ValueSource(strings = { "Bearer key", "bearer key", "BEARER key" })
	void theSchemeOfAKeyIsReadInAnyCase(String authorization) {
		assertThat(WorkspaceKeys.find(MANIFEST, Optional.of(authorization))).contains(SHOP);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "key", "Basic key", "Bearer", "Bearer KEY", "Bearerkey" })
	void anythingElseIsNoKey(String authorization) {
		assertThat(WorkspaceKeys.find(MANIFEST, Optional.of(authorization))).isEmpty();
	}

}
