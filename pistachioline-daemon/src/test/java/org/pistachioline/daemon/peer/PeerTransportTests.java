package org.pistachioline.daemon.peer;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.protocol.peer.DaemonStatus;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTransportTests {

	private static final PeerFrame FRAME = PeerFrame.newBuilder()
		.setHeartbeat(Heartbeat.newBuilder().setSender(DaemonStatus.newBuilder().setDaemonId("daemon-1")))
		.build();

	private static final int MAX_CONNECTIONS = 3;

	private final List<PeerTransport> started = new ArrayList<>();

	private final BlockingQueue<PeerFrame> received = new LinkedBlockingQueue<>();

	@AfterEach
	void stopAll() {
		this.started.forEach(PeerTransport::stop);
	}

	private PeerTransport transport(PeerTls tls) {
		final PeerTransport transport = new PeerTransport("127.0.0.1:0", tls, MAX_CONNECTIONS, this.received::add);
		transport.start();
		this.started.add(transport);
		return transport;
	}

	private static PeerTls tls(String authority, String daemon) {
		final String folder = "src/test/resources/peer-tls/";
		return PeerTls.read(new File(folder + daemon + "-daemon.pem"), new File(folder + daemon + "-daemon.key"),
				new File(folder + authority + "-authority.pem"));
	}

	private static Socket connect(PeerTransport transport) throws IOException {
		final String address = transport.localAddress();
		final Socket socket = new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)));
		socket.setSoTimeout(30_000);
		return socket;
	}

	private PeerFrame sendUntilReceived(PeerTransport from, PeerTransport to) throws InterruptedException {
		PeerFrame frame = null;
		while (frame == null) {
			from.send(to.localAddress(), FRAME);
			frame = this.received.poll(10, TimeUnit.MILLISECONDS);
		}
		return frame;
	}

	@Test
	void daemonsOfOneAuthorityExchangeFramesAndTheBytesAreCounted() throws InterruptedException {
		final PeerTransport first = transport(tls("ours", "ours"));
		final PeerTransport second = transport(tls("ours", "ours"));
		assertThat(sendUntilReceived(first, second)).isEqualTo(FRAME);
		assertThat(first.sentMeter().byteCount(PeerFrame.BodyCase.HEARTBEAT))
			.isEqualTo(first.sentMeter().frameCount(PeerFrame.BodyCase.HEARTBEAT) * (FRAME.getSerializedSize() + 4));
	}

	// A stranger in the network opens the peer port and speaks the protocol without TLS,
	// or
	// with a certificate of its own. It could make up daemons and send callers to them.
	@Test
	void aClientWithoutATrustedCertificateIsDisconnectedBeforeAnyFrame() throws IOException {
		final PeerTransport daemon = transport(tls("ours", "ours"));
		try (Socket plain = connect(daemon)) {
			plain.getOutputStream().write(new byte[] { 0, 0, 0, 2, 10, 0 });
			assertThat(isClosedByPeer(plain)).isTrue();
		}
		final PeerTransport stranger = transport(tls("ours", "other"));
		for (int i = 0; i < 20; i++) {
			stranger.send(daemon.localAddress(), FRAME);
		}
		assertThat(this.received).isEmpty();
		assertThat(daemon.receivedMeter().frameCount(PeerFrame.BodyCase.HEARTBEAT)).isZero();
	}

	@Test
	void anOversizedFrameIsRefusedByItsLengthPrefix() throws IOException {
		final PeerTransport daemon = transport(null);
		try (Socket stranger = connect(daemon)) {
			stranger.getOutputStream().write(new byte[] { 0x7f, 0, 0, 0 });
			assertThat(isClosedByPeer(stranger)).isTrue();
		}
	}

	@Test
	void anUndecodableFrameClosesTheConnectionAndIsNotDelivered() throws IOException {
		final PeerTransport daemon = transport(null);
		try (Socket stranger = connect(daemon)) {
			stranger.getOutputStream().write(new byte[] { 0, 0, 0, 3, -1, -1, -1 });
			assertThat(isClosedByPeer(stranger)).isTrue();
		}
		assertThat(this.received).isEmpty();
	}

	// A scanner, or a fault elsewhere, opens connection after connection and holds them.
	// Each
	// costs buffers; without a cap they add up until the daemon has no memory for
	// callers.
	@Test
	void connectionsAboveTheLimitAreClosedAtOnce() throws IOException, InterruptedException {
		final PeerTransport daemon = transport(null);
		final List<Socket> held = new ArrayList<>();
		try {
			for (int i = 0; i < MAX_CONNECTIONS; i++) {
				held.add(connect(daemon));
				held.get(i).getOutputStream().write(frameBytes());
				assertThat(this.received.take()).isEqualTo(FRAME);
			}
			try (Socket over = connect(daemon)) {
				assertThat(isClosedByPeer(over)).isTrue();
			}
			held.remove(0).close();
			held.get(0).getOutputStream().write(frameBytes());
			assertThat(this.received.take()).isEqualTo(FRAME);
		}
		finally {
			for (final Socket socket : held) {
				socket.close();
			}
		}
	}

	@Test
	void aConnectionAboveTheFrameRateLimitIsClosedAndOneAtTheLimitIsNot() {
		final AtomicLong nowNanos = new AtomicLong();
		final EmbeddedChannel honest = new EmbeddedChannel(new FrameRateLimiter(nowNanos::get));
		for (int i = 0; i < 10 * PeerLimits.MAX_FRAMES_PER_SECOND; i++) {
			nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(1) / PeerLimits.MAX_FRAMES_PER_SECOND);
			honest.writeInbound(Unpooled.EMPTY_BUFFER);
		}
		assertThat(honest.isOpen()).isTrue();
		final EmbeddedChannel flood = new EmbeddedChannel(new FrameRateLimiter(nowNanos::get));
		for (int i = 0; i <= PeerLimits.MAX_FRAMES_PER_SECOND; i++) {
			flood.writeInbound(Unpooled.EMPTY_BUFFER);
		}
		assertThat(flood.isOpen()).isFalse();
	}

	private static byte[] frameBytes() {
		final byte[] body = FRAME.toByteArray();
		final byte[] bytes = new byte[body.length + 4];
		bytes[3] = (byte) body.length;
		System.arraycopy(body, 0, bytes, 4, body.length);
		return bytes;
	}

	// Whether the other side closes; a read that times out throws.
	private static boolean isClosedByPeer(Socket socket) throws IOException {
		try {
			while (socket.getInputStream().read() >= 0) {
				continue;
			}
			return true;
		}
		catch (java.net.SocketException ex) {
			return true;
		}
	}

}
