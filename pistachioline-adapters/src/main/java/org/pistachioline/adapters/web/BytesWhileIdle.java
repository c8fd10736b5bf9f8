package org.pistachioline.adapters.web;

import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notices bytes that arrive while no request waits, also where the codec makes no message
 * of them: the start of a head would wait there for the rest of the next answer.
 */
final class BytesWhileIdle extends ChannelInboundHandlerAdapter {

	private final BooleanSupplier awaited;

	private final Runnable listener;

	/**
	 * Creates a handler that is placed before the codec.
	 * @param awaited whether a request waits for bytes
	 * @param listener is called when bytes have arrived while none did
	 */
	BytesWhileIdle(BooleanSupplier awaited, Runnable listener) {
		this.awaited = awaited;
		this.listener = listener;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		final boolean unexpected = !this.awaited.getAsBoolean();
		ctx.fireChannelRead(message);
		if (unexpected) {
			this.listener.run();
		}
	}

}
