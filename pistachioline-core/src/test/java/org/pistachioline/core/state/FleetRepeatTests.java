package org.pistachioline.core.state;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRepeatTests {

	private final FleetReducer reducer = new FleetReducer();

	private FleetState state = this.reducer.initial();

	private long offset;

	private void fold(long sequence, RecordBody body) {
		this.state = this.reducer.apply(this.state, this.offset, new LogRecord("planner", sequence, 1, body)).state();
		this.offset++;
	}

	// The answer to a formation's append is lost, its repeat lands, and the group is
	// dissolved some minutes later. Then the first append arrives after all. Taken for
	// new, it would form a group that nobody wants and hold its accelerators.
	@Test
	void aFormationThatLandsAgainAfterItsGroupWasDissolvedIsDropped() {
		final Member member = new Member("i-1", "domain", "10.0.0.1:80", "zone-a", 8);
		final GroupFormation formation = new GroupFormation("g", "model", 0, List.of(member), 1);
		fold(1, new PlannerClaim("domain", PlannerClaim.NONE));
		fold(2, formation);
		fold(3, new GroupDissolution("g", 1, 0, "shrink"));
		fold(2, formation);
		assertThat(this.state.groups()).isEmpty();
		assertThat(this.state.owners()).isEmpty();
	}

	// A new incarnation of a daemon is another writer and starts its sequences afresh;
	// its records must not pass for repeats.
	@Test
	void aNewIncarnationsRecordsAreNoRepeats() {
		fold(5, new PlannerClaim("domain", PlannerClaim.NONE));
		final Applied<FleetState> next = this.reducer.apply(this.state, this.offset,
				new LogRecord("planner#2", 1, 1, new PlannerClaim("domain", 0)));
		assertThat(next.isAccepted()).isTrue();
	}

	// More writers than are remembered have come and gone. The one that has been silent
	// the longest is forgotten, on all daemons the same one.
	@Test
	void theWriterThatIsSilentTheLongestIsForgottenFirst() {
		WriterMarks marks = WriterMarks.EMPTY;
		for (int writer = 0; writer <= WriterMarks.MAX_WRITERS; writer++) {
			marks = marks.with(writer, new LogRecord("w-" + writer, 1, 1, new PlannerClaim("domain", 0)));
		}
		assertThat(marks.marks()).hasSize(WriterMarks.MAX_WRITERS).doesNotContainKey("w-0").containsKey("w-1");
	}

}
