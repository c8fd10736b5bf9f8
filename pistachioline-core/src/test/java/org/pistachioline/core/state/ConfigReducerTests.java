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

	// Two operators publish on the same base at the same moment. Without the check on the
	// base the later one would silently undo what the first one's users already rely on.
	@Test
	void ofTwoConcurrentProposalsTheFirstInLogOrderWinsAndTheOtherIsRejected() {
		final ApplyResult<ConfigState> first = this.reducer.apply(ConfigState.EMPTY, 4, proposal("a", 1, 0));
		final ApplyResult<ConfigState> second = this.reducer.apply(first.state(), 5, proposal("b", 1, 0));
		assertThat(first.isAccepted()).isTrue();
		assertThat(second.rejection()).contains(RejectReason.STALE_BASE);
		assertThat(second.state().version()).isEqualTo(1);
		assertThat(second.state().acceptedWriter()).isEqualTo("a");
	}

	// The answer to an append is lost, so it is sent again and lands twice. The operator
	// would be told that he was beaten by himself.
	@Test
	void aDuplicateRecordIsRejected() {
		final ApplyResult<ConfigState> first = this.reducer.apply(ConfigState.EMPTY, 0, proposal("a", 1, 0));
		final ApplyResult<ConfigState> again = this.reducer.apply(first.state(), 1, proposal("a", 1, 0));
		assertThat(again.rejection()).contains(RejectReason.REPEATED);
		assertThat(again.state()).isEqualTo(first.state());
	}

	// During a rolling upgrade newer daemons write kinds of records that older ones do
	// not
	// know. An older one must neither stop nor change its state.
	@Test
	void aRecordOfAnUnknownKindDoesNotChangeTheConfiguration() {
		final LogRecord unknown = new LogRecord("a", 1, 2, new UnknownBody());
		final ApplyResult<ConfigState> applied = this.reducer.apply(ConfigState.EMPTY, 0, unknown);
		assertThat(applied.rejection()).contains(RejectReason.UNKNOWN_KIND);
		assertThat(applied.state().version()).isZero();
	}

}
