package org.pistachioline.ctl;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.event.EventLevel;

import static org.assertj.core.api.Assertions.assertThat;

class AdviceTests {

	private final Advice advice = new Advice();

	@Test
	void everyEventThatIsMoreThanInformationHasAdvice() {
		assertThat(
				Arrays.stream(EventId.values()).filter((event) -> event.level() != EventLevel.INFO).map(EventId::label))
			.allMatch((label) -> this.advice.about(label).isPresent());
	}

	@Test
	void everyErrorHasAdvice() {
		assertThat(Arrays.stream(ErrorKind.values()).map(ErrorKind::code))
			.allMatch((code) -> this.advice.about(code).isPresent());
	}

}
