package org.pistachioline.core.state;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.UnknownBody;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigReducerTests {

	private final ConfigReducer reducer = new ConfigReducer();

	private static LogRecord proposal(String writer, long sequence, long baseVersion) {
		return new LogRecord(writer, sequence, 1, new ManifestProposal(baseVersion, Manifest.EMPTY));
	}

	// Two operators publish concurrently on the same base version. Without the check
	// of the base version the later manifest would silently revert changes of the
	// first one that are already in use.
	@Test
	void ofTwoConcurrentProposalsTheFirstInLogOrderWinsAndTheOtherIsRejected() {
		final ApplyResult<ConfigState> first = this.reducer.apply(ConfigState.EMPTY, 4, proposal("a", 1, 0));
		final ApplyResult<ConfigState> second = this.reducer.apply(first.state(), 5, proposal("b", 1, 0));
		assertThat(first.isAccepted()).isTrue();
		assertThat(second.rejection()).contains(RejectReason.STALE_BASE);
		assertThat(second.state().version()).isEqualTo(1);
		assertThat(second.state().acceptedWriter()).isEqualTo("a");
	}

	// The response to an append is lost, so the append is retried and the proposal is
	// stored twice. The operator must not be told that it conflicts with another
	// proposal.
	@Test
	void aDuplicateRecordIsRejected() {
		final ApplyResult<ConfigState> first = this.reducer.apply(ConfigState.EMPTY, 0, proposal("a", 1, 0));
		final ApplyResult<ConfigState> duplicate = this.reducer.apply(first.state(), 1, proposal("a", 1, 0));
		assertThat(duplicate.rejection()).contains(RejectReason.REPEATED);
		assertThat(duplicate.state()).isEqualTo(first.state());
	}

	// During a rolling upgrade newer daemons append kinds of records that older
	// daemons do not know. An older daemon must neither stop nor change its
	// configuration.
	@Test
	void aRecordOfAnUnknownKindDoesNotChangeTheConfiguration() {
		final LogRecord unknown = new LogRecord("a", 1, 2, new UnknownBody());
		final ApplyResult<ConfigState> result = this.reducer.apply(ConfigState.EMPTY, 0, unknown);
		assertThat(result.rejection()).contains(RejectReason.UNKNOWN_KIND);
		assertThat(result.state().version()).isZero();
	}

}
