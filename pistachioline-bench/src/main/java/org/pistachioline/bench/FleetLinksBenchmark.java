package org.pistachioline.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.peer.GossipSample;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.peer.PeerTable;
import org.pistachioline.core.presence.GroupDigest;
import org.pistachioline.core.presence.PresenceLimits;
import org.pistachioline.core.presence.PresenceNode;
import org.pistachioline.core.presence.PresenceRequest;
import org.pistachioline.core.presence.PresenceStep;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.daemon.fleet.PresenceTransport;
import org.pistachioline.daemon.peer.PeerCodec;
import org.pistachioline.daemon.peer.WorkspaceDemandExchange;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Measures in virtual time, with the daemon's own decisions and codecs, what gossip and
 * presence cost one daemon, and how long gossip takes to reach all.
 */
final class FleetLinksBenchmark implements Benchmark {

	/** Ten workspaces, as many as each of the customers has. */
	private static final Map<String, Double> DEMAND = IntStream.range(0, 10)
		.boxed()
		.collect(Collectors.toMap((index) -> "workspace-" + index, (index) -> 3.0));

	private static final WorkspaceDemandExchange DEMAND_EXCHANGE = new WorkspaceDemandExchange(() -> DEMAND,
			(sender, demand) -> {
				// Only the encoded size is measured.
			});

	private static final long MILLI = 1_000_000;

	private static final long BEAT_NANOS = 500 * MILLI;

	private static final int FAN_OUT = 2;

	private static final int LENGTH_BYTES = 4;

	private static final int MAX_BEATS = 600;

	private static final int MEASURED_SECONDS = 10;

	private static final double NANOS_PER_SECOND = 1e9;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(20261202L);

	@Override
	public String name() {
		return "fleet-links";
	}

	@Override
	public void run(Figures figures) {
		for (final int daemons : new int[] { 8, 32, 96, 370 }) {
			gossip(figures, daemons);
		}
		presence(figures, 8, 63, 8, 9);
		presence(figures, 32, 250, 8, 32);
		presence(figures, 370, 1_600, 8, 200);
		presence(figures, 370, 1_600, 32, 200);
	}

	private static PeerStatus status(int daemon, long sequence, long version) {
		final String address = "10.20." + daemon / 256 + "." + daemon % 256;
		return new PeerStatus("daemon-" + daemon, address + ":7400", address + ":8080", address + ":9090",
				"region-1-zone-" + daemon % 16, 1_796_000_000_000L, sequence, version, 100_000, 5_000_000, true, false,
				12, 900);
	}

	private void gossip(Figures figures, int daemons) {
		final List<PeerTable> tables = new ArrayList<>();
		for (int daemon = 0; daemon < daemons; daemon++) {
			tables.add(new PeerTable("daemon-" + daemon, 8 * BEAT_NANOS));
		}
		long beat = 1;
		while (known(tables, beat, 1) < pairs(daemons) && beat < MAX_BEATS) {
			beat(tables, ++beat, 1);
		}
		figures.print("gossip: all of " + daemons + " daemons know all after a common start", beat / 2.0, "s");
		long lost = 0;
		long bytes = 0;
		final long steadyBeats = 2 * MEASURED_SECONDS;
		for (int i = 0; i < steadyBeats; i++) {
			bytes += beat(tables, ++beat, 1);
			lost += pairs(daemons) - known(tables, beat, 1);
		}
		figures.print("gossip: bytes sent a second per daemon at " + daemons,
				bytes / (double) daemons / MEASURED_SECONDS, "B/s");
		figures.print("gossip: live daemons thought dead at " + daemons + ", share of all views",
				lost / (double) pairs(daemons) / steadyBeats, "1");
		final long changedAt = beat;
		while (known(tables, beat, 2) < pairs(daemons) && beat < changedAt + MAX_BEATS) {
			beat(tables, ++beat, 2);
		}
		figures.print("gossip: all of " + daemons + " daemons know that all changed", (beat - changedAt) / 2.0, "s");
	}

	private static long pairs(int daemons) {
		return (long) daemons * (daemons - 1);
	}

	private long beat(List<PeerTable> tables, long beat, long version) {
		final long nowNanos = beat * BEAT_NANOS;
		long bytes = 0;
		for (int sender = 0; sender < tables.size(); sender++) {
			final GossipSample sample = tables.get(sender).sample(nowNanos);
			final PeerStatus self = status(sender, beat, version);
			final Heartbeat.Builder heartbeat = PeerCodec.heartbeat(self, sample);
			DEMAND_EXCHANGE.addTo(heartbeat, nowNanos);
			final PeerFrame frame = PeerFrame.newBuilder().setHeartbeat(heartbeat).build();
			bytes += FAN_OUT * (frame.getSerializedSize() + LENGTH_BYTES);
			for (int copy = 0; copy < FAN_OUT; copy++) {
				final PeerTable receiver = tables.get(this.random.nextInt(tables.size()));
				receiver.merge(self, nowNanos);
				sample.statuses().forEach((status) -> receiver.merge(status, nowNanos));
				sample.updates().forEach((news) -> receiver.merge(news, nowNanos));
			}
		}
		return bytes;
	}

	private static long known(List<PeerTable> tables, long beat, long version) {
		return tables.stream()
			.flatMap((table) -> table.live(beat * BEAT_NANOS).stream())
			.filter((status) -> status.configVersion() == version)
			.count();
	}

	private static void presence(Figures figures, int daemons, int groupCount, int members, int domains) {
		final Map<String, String> zones = new TreeMap<>();
		final Map<String, PresenceNode> nodes = new TreeMap<>();
		for (int daemon = 0; daemon < daemons; daemon++) {
			zones.put("daemon-" + daemon, "zone-" + daemon % 16);
			nodes.put("daemon-" + daemon,
					new PresenceNode("daemon-" + daemon, new PresenceLimits(BEAT_NANOS, 2_500 * MILLI)));
		}
		final Map<String, GroupState> groups = new HashMap<>();
		final Map<String, EngineState> held = new HashMap<>();
		for (int number = 0; number < groupCount; number++) {
			final GroupState group = group(number, members, number % domains, held);
			groups.put(group.groupId(), group);
		}
		final Map<String, Counts> counts = new HashMap<>();
		nodes.keySet().forEach((id) -> counts.put(id, new Counts()));
		long nowNanos = 0;
		for (int tick = 0; tick < 50 + 10 * MEASURED_SECONDS; tick++) {
			nowNanos += 100 * MILLI;
			if (tick == 50) {
				counts.values().forEach(Counts::clear);
			}
			for (final Map.Entry<String, PresenceNode> entry : nodes.entrySet()) {
				step(entry.getKey(), entry.getValue(), nodes, groups, zones, held, counts, nowNanos);
			}
		}
		final String at = " at " + daemons + " daemons, " + groupCount + " groups of " + members;
		print(figures, "presence: peer bytes sent a second, mean" + at, "B/s", counts, (count) -> count.bytes, false);
		print(figures, "presence: peer bytes sent a second, most" + at, "B/s", counts, (count) -> count.bytes, true);
		print(figures, "presence: peer frames sent a second, mean" + at, "1/s", counts, (count) -> count.frames, false);
		print(figures, "presence: probes a second, mean" + at, "1/s", counts, (count) -> count.probes, false);
		print(figures, "presence: probes a second, most" + at, "1/s", counts, (count) -> count.probes, true);
		print(figures, "presence: decision time, share of a core, mean" + at, "1", counts,
				(count) -> count.nanos / NANOS_PER_SECOND, false);
	}

	private static void print(Figures figures, String name, String unit, Map<String, Counts> counts,
			java.util.function.ToDoubleFunction<Counts> value, boolean most) {
		final java.util.DoubleSummaryStatistics summary = counts.values()
			.stream()
			.mapToDouble(value)
			.summaryStatistics();
		figures.print(name, (most ? summary.getMax() : summary.getAverage()) / MEASURED_SECONDS, unit);
	}

	private static GroupState group(int number, int members, int domain, Map<String, EngineState> held) {
		final List<Member> list = new ArrayList<>();
		final long epoch = 1_000_000 + number;
		final String groupId = "model-" + number;
		for (int rank = 0; rank < members; rank++) {
			final String id = "i-" + number + "-" + rank;
			list.add(new Member(id, "rack-" + domain, "10.0.0.1:8000", "zone-" + domain % 16, 1));
			held.put(id, new EngineState(id, groupId, epoch, rank, "model", EnginePhase.READY, 5, 0));
		}
		return new GroupState(groupId, "model", epoch, false, "", list, 1);
	}

	private static void step(String id, PresenceNode node, Map<String, PresenceNode> nodes,
			Map<String, GroupState> groups, Map<String, String> zones, Map<String, EngineState> held,
			Map<String, Counts> counts, long nowNanos) {
		final Counts mine = counts.get(id);
		final long begunAtNanos = System.nanoTime();
		node.update(groups, zones, nowNanos);
		final PresenceStep step = node.step(List.of(), nowNanos);
		step.probes()
			.forEach((member) -> node.onProbeResponse(member.instanceId(), held.get(member.instanceId()), nowNanos));
		node.proofs(nowNanos);
		mine.nanos += System.nanoTime() - begunAtNanos;
		mine.probes += step.probes().size();
		for (final PresenceRequest question : step.requests()) {
			mine.frame(PresenceTransport.frameOf(id, question).getSerializedSize());
			final List<GroupDigest> answer = nodes.get(question.daemonId()).respond(question.epochs(), nowNanos);
			counts.get(question.daemonId())
				.frame(PresenceTransport.frameOf(question.daemonId(), question.correlationId(), answer)
					.getSerializedSize());
			node.onResponse(question.daemonId(), question.correlationId(), answer);
		}
	}

	private static final class Counts {

		private long bytes;

		private long frames;

		private long probes;

		private long nanos;

		void frame(int size) {
			this.frames++;
			this.bytes += size + LENGTH_BYTES;
		}

		void clear() {
			this.bytes = 0;
			this.frames = 0;
			this.probes = 0;
			this.nanos = 0;
		}

	}

}
