package org.pistachioline.adapters.web;

import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.util.Random;

import io.netty.buffer.ByteBufUtil;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BlockBufferTests {

	private static final int LARGE_BYTES = 1_000_000;

	private final BlockBuffer buffer = new BlockBuffer();

	// Guards against bytes that are lost, doubled or exchanged where two blocks meet.
	@Test
	void aBodyHasThePiecesInTheirOrder() throws Exception {
		final Random random = new Random(1);
		final ByteArrayOutputStream expected = new ByteArrayOutputStream();
		while (expected.size() < LARGE_BYTES) {
			final byte[] piece = new byte[random.nextInt(100_000)];
			random.nextBytes(piece);
			expected.writeBytes(piece);
			this.buffer.append(piece);
		}
		assertThat(this.buffer.sizeBytes()).isEqualTo(expected.size());
		final Body body = this.buffer.takeBody();
		assertThat(body.sizeBytes()).isEqualTo(expected.size());
		assertThat(body.bytes()).isEqualTo(expected.toByteArray());
		assertThat(ByteBufUtil.getBytes(body.toBuffer())).isEqualTo(expected.toByteArray());
		final MessageDigest digest = MessageDigest.getInstance("SHA-256");
		body.digest(digest);
		assertThat(digest.digest()).isEqualTo(MessageDigest.getInstance("SHA-256").digest(expected.toByteArray()));
	}

	// Guards against single bytes that take many times their size.
	@Test
	void piecesOfOneByteShareBlocks() {
		for (int i = 0; i < LARGE_BYTES; i++) {
			this.buffer.append(new byte[] { 'x' });
			assertThat(this.buffer.capacityBytes())
				.isLessThanOrEqualTo(Math.max(BlockBuffer.MIN_BLOCK_BYTES, 2 * this.buffer.sizeBytes()));
		}
		assertThat(this.buffer.capacityBytes()).isLessThan(LARGE_BYTES + BlockBuffer.MAX_BLOCK_BYTES);
	}

	// Guards against a buffer that keeps the memory of a body that was handed on.
	@Test
	void aBufferIsEmptyBehindItsBody() {
		this.buffer.append("first".getBytes());
		final Body first = this.buffer.takeBody();
		assertThat(this.buffer.capacityBytes()).isZero();
		this.buffer.append("second".getBytes());
		assertThat(first.text()).isEqualTo("first");
		this.buffer.clear();
		assertThat(this.buffer.sizeBytes()).isZero();
		assertThat(this.buffer.takeBody()).isSameAs(Body.EMPTY);
	}

}
