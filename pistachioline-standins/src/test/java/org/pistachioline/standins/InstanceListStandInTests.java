package org.pistachioline.standins;

import java.util.List;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.http.CallKind;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.platform.HttpInstanceList;
import org.pistachioline.core.fleet.Instance;

import static org.assertj.core.api.Assertions.assertThat;

class InstanceListStandInTests {

	// Every daemon asks for the list twice a second. Whole answers each time would take
	// more
	// than all control may, at today's size already; a change must be seen all the same.
	@Test
	void anUnchangedListIsNotSentAgainAndAChangeIsSeen() {
		final ActorSystem<Void> system = ActorSystems.create("list");
		final InstanceListStandIn standIn = new InstanceListStandIn(system, 0);
		try {
			for (int i = 0; i < 100; i++) {
				standIn.put(row(i, "live"));
			}
			final HttpCaller http = new HttpCaller(system);
			final HttpInstanceList list = new HttpInstanceList(http, standIn.start(0));
			final List<Instance> first = list.read().join();
			final long firstBytes = http.meter().receivedBytes(CallKind.INSTANCE_LIST);
			assertThat(first).hasSize(100);
			assertThat(list.read().join()).isEqualTo(first);
			assertThat(http.meter().receivedBytes(CallKind.INSTANCE_LIST) - firstBytes).isLessThan(200);
			standIn.put(row(7, "leaving"));
			assertThat(list.read().join()).filteredOn(Instance::leaving)
				.extracting(Instance::id)
				.containsExactly("i-7");
		}
		finally {
			standIn.stop();
			system.terminate();
		}
	}

	private static ListedInstance row(int index, String state) {
		return new ListedInstance("i-" + index, "engines", "127.0.0.1:1", "fabric-0", "zone-a", 1, state);
	}

}
