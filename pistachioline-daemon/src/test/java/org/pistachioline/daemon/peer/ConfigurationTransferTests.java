package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.port.ConfigurationCopy;
import org.pistachioline.daemon.port.RouteSource;
import org.pistachioline.protocol.peer.CheckpointReply;
import org.pistachioline.protocol.peer.CheckpointRequest;
import org.pistachioline.protocol.peer.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationTransferTests {

	private static final int PART_BYTES = 256 * 1024;

	private static final List<PeerStatus> HOLDER = List
		.of(new PeerStatus("holder", "", "", "", "", 1, 1, 9, 0, 0, true, false, 0, 0));

	private final List<PeerFrame> toHolder = new ArrayList<>();

	private final List<PeerFrame> toAsker = new ArrayList<>();

	private final Routes askerRoutes = new Routes(Optional.empty());

	private VersionLag lag = new VersionLag(3, 9, "holder", 300, false);

	private final ConfigurationTransfer asker = new ConfigurationTransfer((daemonId, frame) -> this.toHolder.add(frame),
			"asker", this.askerRoutes, () -> this.lag);

	private ConfigurationTransfer holder(long version, byte[] content) {
		return new ConfigurationTransfer((daemonId, frame) -> this.toAsker.add(frame), "holder",
				new Routes(Optional.of(new ConfigurationCopy(version, content))), () -> VersionLag.NONE);
	}

	private void exchange(ConfigurationTransfer holder) {
		while (!this.toHolder.isEmpty()) {
			holder.onFrame(this.toHolder.remove(0));
			while (!this.toAsker.isEmpty()) {
				this.asker.onFrame(this.toAsker.remove(0));
			}
		}
	}

	private static byte[] bytes(int size) {
		final byte[] content = new byte[size];
		new Random(1).nextBytes(content);
		return content;
	}

	@Test
	void aConfigurationOfSeveralPartsArrivesWhole() {
		final byte[] content = bytes(2 * PART_BYTES + 1);
		this.asker.onPeers(HOLDER);
		exchange(holder(9, content));
		assertThat(this.askerRoutes.offered).singleElement()
			.satisfies((copy) -> assertThat(copy.version()).isEqualTo(9))
			.satisfies((copy) -> assertThat(copy.content()).isEqualTo(content));
	}

	// Guards against a copy for each daemon after each change, though the platform has
	// provided it to all.
	@Test
	void aDaemonThatIsBehindForAMomentAsksNobody() {
		this.lag = new VersionLag(3, 9, "holder", 100, false);
		this.asker.onPeers(HOLDER);
		this.lag = new VersionLag(9, 9, "", 0, false);
		this.asker.onPeers(HOLDER);
		assertThat(this.toHolder).isEmpty();
	}

	// Guards against a configuration that goes back.
	@Test
	void aCopyThatIsNoNewerIsNotTaken() {
		this.asker.onPeers(HOLDER);
		exchange(holder(3, bytes(100)));
		assertThat(this.askerRoutes.offered).isEmpty();
	}

	// Guards against a daemon that has no more time for its callers, because a whole
	// fleet
	// asks it for copies.
	@Test
	void theCopiesThatADaemonProvidesAtATimeAreLimited() {
		final ConfigurationTransfer holder = holder(9, bytes(100));
		for (int i = 0; i < 300; i++) {
			holder.onFrame(request());
		}
		assertThat(this.toAsker).hasSize(300);
		assertThat(this.toAsker.stream().filter((frame) -> frame.getCheckpointReply().getAvailable()).count())
			.isBetween(1L, 32L);
	}

	private static PeerFrame request() {
		return PeerFrame.newBuilder()
			.setCheckpointRequest(
					CheckpointRequest.newBuilder().setStream("configuration").setKnownOffset(5).setRequesterId("asker"))
			.build();
	}

	// Guards against memory that fills up with a configuration that never ends.
	@Test
	void aCopyOfTooManyPartsIsNotTaken() {
		this.asker.onPeers(HOLDER);
		this.asker.onFrame(reply("holder", 9, 17));
		assertThat(this.toHolder).hasSize(1);
		assertThat(this.askerRoutes.offered).isEmpty();
	}

	@Test
	void aPartFromADaemonThatWasNotAskedIsNotTaken() {
		this.asker.onPeers(HOLDER);
		this.asker.onFrame(reply("other", 9, 1));
		assertThat(this.askerRoutes.offered).isEmpty();
		this.asker.onFrame(reply("holder", 9, 1));
		assertThat(this.askerRoutes.offered).hasSize(1);
	}

	private static PeerFrame reply(String sender, long version, int parts) {
		return PeerFrame.newBuilder()
			.setCheckpointReply(CheckpointReply.newBuilder()
				.setStream("configuration")
				.setAvailable(true)
				.setSenderId(sender)
				.setThroughOffset(version)
				.setParts(parts)
				.setState(ByteString.copyFrom(bytes(10))))
			.build();
	}

	private static final class Routes implements RouteSource {

		private final Optional<ConfigurationCopy> copy;

		private final List<ConfigurationCopy> offered = new ArrayList<>();

		Routes(Optional<ConfigurationCopy> copy) {
			this.copy = copy;
		}

		@Override
		public Optional<ConfigurationCopy> copy() {
			return this.copy;
		}

		@Override
		public void offer(ConfigurationCopy newer, String daemonId) {
			this.offered.add(newer);
		}

		@Override
		public boolean isInterrupted() {
			return false;
		}

		@Override
		public long pendingReadMillis() {
			return -1;
		}

		@Override
		public void setRouteListener(Consumer<RouteTable> receiver) {
			// Not part of the exchange.
		}

		@Override
		public void setFleetView(IntSupplier liveDaemons, LongSupplier newestVersion) {
			// Not part of the exchange.
		}

		@Override
		public void start() {
			// Not part of the exchange.
		}

		@Override
		public void stop() {
			// Not part of the exchange.
		}

	}

}
