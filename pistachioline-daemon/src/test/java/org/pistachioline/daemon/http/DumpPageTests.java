package org.pistachioline.daemon.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebRequest;

import static org.assertj.core.api.Assertions.assertThat;

class DumpPageTests {

	private static final List<Map<String, Integer>> GROUPS = IntStream.range(0, 1_600)
		.mapToObj((i) -> Map.of("group", i))
		.toList();

	private static final Map<String, Object> DUMP = Map.of("fleet", Map.of("groups", GROUPS, "next_offset", 7),
			"daemon", "daemon-0");

	// Guards against dumps of several megabytes when an operator of a large fleet
	// requests one without a filter.
	@Test
	void aDumpWithoutFilterHasEverySectionAndCutsLongLists() {
		final Map<String, Object> selected = DumpPage.of(request("")).select(DUMP);
		assertThat(selected).containsEntry("daemon", "daemon-0")
			.containsEntry("fleet", Map.of("groups", GROUPS.subList(0, 100), "groups_total", 1_600, "next_offset", 7));
	}

	@Test
	void aSectionIsReturnedPageByPage() {
		final Map<String, Object> selected = DumpPage.of(request("section=fleet&from=0&limit=1000")).select(DUMP);
		assertThat(selected).isEqualTo(
				Map.of("fleet", Map.of("groups", GROUPS.subList(0, 1_000), "groups_total", 1_600, "next_offset", 7)));
	}

	@Test
	void entriesAreFoundByTheirText() {
		final Map<String, Object> selected = new DumpPage(Optional.empty(), 0, 10, "\"group\":1599").select(DUMP);
		assertThat(selected).containsEntry("fleet",
				Map.of("groups", List.of(Map.of("group", 1_599)), "groups_total", 1_600, "next_offset", 7));
	}

	@Test
	void invalidNumbersGetTheDefaults() {
		assertThat(DumpPage.of(request("from=-1&limit=many"))).isEqualTo(new DumpPage(Optional.empty(), 0, 100, ""));
		assertThat(DumpPage.of(request("limit=5000")).limit()).isEqualTo(1_000);
	}

	private static WebRequest request(String query) {
		return WebRequest.get("/debug/dump?" + query, HeaderFields.EMPTY);
	}

}
