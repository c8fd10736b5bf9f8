package org.pistachioline.adapters.toml;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.FutureTask;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.manifest.Fault;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ManifestReaderTests {

	/** As large as the stacks of the daemon's threads. */
	private static final int SMALL_STACK_BYTES = 256 * 1024;

	@Test
	void allFaultsAreNamedAtOnceWithPlaceFoundAndAllowed() {
		final String toml = """
				base_version = -1
				colour = "red"
				[[pools]]
				name = "engines"
				kind = "engin"
				[[models]]
				name = "m"
				pool = "engines"
				members = "two"
				""";
		assertThatThrownBy(() -> ManifestReader.read("m.toml", toml))
			.isInstanceOfSatisfying(InvalidInputException.class, (ex) -> assertThat(ex.faults()).extracting(Fault::path)
				.containsExactly("colour", "base_version", "pools[0].kind", "models[0].members"));
	}

	// A pipeline that learns of one fault a run takes a day to publish a manifest with
	// ten.
	@Test
	void faultsOfFormAndOfMeaningAreNamedTogether() {
		final String toml = """
				base_version = -1
				[deadlines]
				total_seconds = 100000
				[[models]]
				name = "m"
				pool = "nowhere"
				members = 0
				""";
		assertThatThrownBy(() -> ManifestReader.read("m.toml", toml))
			.isInstanceOfSatisfying(InvalidInputException.class, (ex) -> assertThat(ex.faults()).extracting(Fault::path)
				.containsExactly("base_version", "models[0].pool", "models[0].members", "deadlines.total_seconds"));
	}

	@Test
	void aSyntaxFaultIsNamedWithItsLine() {
		assertThatThrownBy(() -> ManifestReader.read("m.toml", "base_version = 1\nname = = 2\n"))
			.isInstanceOf(InvalidInputException.class)
			.hasMessageContaining("line 2");
	}

	/**
	 * Guards against a manifest that ends its reader with an error, because its values
	 * are nested too deeply for the stack of a thread.
	 * @throws Exception if the thread fails
	 */
	@Test
	void aManifestThatIsNestedTooDeeplyIsRefusedOnASmallStack() throws Exception {
		for (final int depth : new int[] { 100, 990, 200_000 }) {
			assertThat(failureOnSmallStack("base_version = " + "[".repeat(depth) + "]".repeat(depth)))
				.as("arrays, " + depth)
				.isInstanceOf(InvalidInputException.class);
			assertThat(failureOnSmallStack("base_version = " + "{ x = ".repeat(depth) + "1" + " }".repeat(depth)))
				.as("tables, " + depth)
				.isInstanceOf(InvalidInputException.class);
			assertThat(failureOnSmallStack("x" + ".x".repeat(depth) + " = 1")).as("dotted keys, " + depth)
				.isInstanceOf(InvalidInputException.class);
		}
	}

	private static Throwable failureOnSmallStack(String toml) throws Exception {
		final FutureTask<Throwable> task = new FutureTask<>(() -> {
			try {
				ManifestReader.read("m.toml", toml);
				return null;
			}
			catch (InvalidInputException | StackOverflowError ex) {
				return ex;
			}
		});
		new Thread(null, task, "small-stack", SMALL_STACK_BYTES).start();
		return task.get();
	}

	@Property(seed = "20261202", tries = 500)
	void arbitraryBytesGiveFaultsAndNothingElse(@ForAll @Size(max = 200) byte[] bytes) {
		final String text = new String(bytes, StandardCharsets.ISO_8859_1);
		try {
			ManifestReader.read("m.toml", text);
		}
		catch (InvalidInputException ex) {
			assertThat(ex.faults()).isNotEmpty();
		}
	}

}
