package org.pistachioline.adapters.web;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notices in front of the codec that bytes have arrived, whatever the codec makes of
 * them. Without it, a request's head that never becomes whole would look like silence.
 */
final class UndecodedBytes extends ChannelInboundHandlerAdapter {

	private boolean bytesRead;

	private boolean decoded;

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object bytes) {
		this.bytesRead = true;
		ctx.fireChannelRead(bytes);
	}

	/**
	 * Notes that the codec has decoded something.
	 */
	void onDecoded() {
		this.decoded = true;
	}

	/**
	 * Ends one reading of the connection.
	 * @return whether bytes have arrived and nothing was decoded
	 */
	boolean endRead() {
		final boolean undecoded = this.bytesRead && !this.decoded;
		this.bytesRead = false;
		this.decoded = false;
		return undecoded;
	}

}
