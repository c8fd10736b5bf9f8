package org.pistachioline.adapters.web;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class HeaderTextTests {

	@ParameterizedTest
	@ValueSource(strings = { "shop", "M\u00fcller", "\u4e2d\u58e2", "??", "a \ud83d\ude00 b", "e\u0301", "a, b",
			"\u3000wide" })
	void aTextCrossesWholeAndBack(String text) {
		assertThat(HeaderText.encode(text).map(HeaderText::decode)).contains(text);
	}

	@Test
	void textIsWrittenAsUtf8WithACharacterForEachOctet() {
		assertThat(HeaderText.encode("M\u00fcller")).contains("M\u00c3\u00bcller");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", " ", " shop", "shop ", "a\nb", "a\rb", "a\0b", "a\tb", "a\u007fb", "a\ud83d" })
	void whatDoesNotCrossWholeDoesNotCross(String text) {
		assertThat(HeaderText.encode(text)).isEmpty();
	}

	@Test
	void aValueThatIsNotUtf8IsReadAsIso88591() {
		assertThat(HeaderText.decode("M\u00fcller")).isEqualTo("M\u00fcller");
	}

	// Guards against two names that become the same one on their way.
	@Property(seed = "42")
	void differentTextsAreDifferentValues(@ForAll String first, @ForAll String second) {
		if (!first.equals(second) && HeaderText.encode(first).isPresent()) {
			assertThat(HeaderText.encode(first)).isNotEqualTo(HeaderText.encode(second));
		}
	}

	// Guards against a character that the codec would replace by a question mark.
	@Test
	void aFieldTakesNoCharacterThatIsNoOctet() {
		assertThatIllegalArgumentException().isThrownBy(() -> HeaderFields.of("Name", "\u4e2d"));
	}

}
