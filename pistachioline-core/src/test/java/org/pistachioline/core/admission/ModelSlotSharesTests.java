package org.pistachioline.core.admission;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ModelSlotSharesTests {

	/**
	 * Guards against a model with long prompts and short answers that gets instances for
	 * its tokens and leaves too few for the other models.
	 */
	@Test
	void theSharesOfModelsFollowTheSlotsThatTheirRequestsNeed() {
		final ModelSlotShares shares = new ModelSlotShares(
				() -> List.of(report("assistant/small", 30, 15), report("assistant/large", 15), report("other", 9)));
		assertThat(shares.shareRatios("assistant")).isEqualTo(Map.of("small", 0.75, "large", 0.25));
		assertThat(shares.shareRatios("unknown")).isEmpty();
	}

	@Test
	void noSharesAreKnownWhileAModelHasNotAnswered() {
		final ModelSlotShares shares = new ModelSlotShares(
				() -> List.of(report("assistant/small", 30), report("assistant/large", 0)));
		assertThat(shares.shareRatios("assistant")).isEmpty();
	}

	private static AdmissionReport report(String name, double... wantedSlots) {
		return new AdmissionReport(name, false, 100, 1,
				Arrays.stream(wantedSlots).mapToObj(ModelSlotSharesTests::kind).toList());
	}

	private static AdmissionReport.Kind kind(double wantedSlots) {
		return new AdmissionReport.Kind(0, 5, 0, wantedSlots, 1, 1);
	}

}
