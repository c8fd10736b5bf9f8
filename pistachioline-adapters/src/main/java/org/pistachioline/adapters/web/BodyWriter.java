package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;

/**
 * Writes a large body as its receiver takes it.
 * <p>
 * The system copies to direct memory all that one write is given, and keeps that memory,
 * so a whole body of some MB would use up the process's direct memory.
 */
final class BodyWriter {

	/** The size of one write; smaller bodies need no writer. */
	static final int MAX_PIECE_BYTES = 64 * 1024;

	private final ChannelHandlerContext ctx;

	private final ByteBuf rest;

	private boolean writing;

	/**
	 * Creates a writer; the head must have been written.
	 * @param ctx writes to the connection
	 * @param body the body
	 */
	BodyWriter(ChannelHandlerContext ctx, Body body) {
		this.ctx = ctx;
		this.rest = body.toBuffer();
	}

	/**
	 * Writes on until the connection takes no more. A write may make the connection
	 * report that it is writable; the call for that report, within this one, does
	 * nothing.
	 * @return whether this call has written the end of the body
	 */
	boolean writeOn() {
		if (this.writing) {
			return false;
		}
		this.writing = true;
		while (this.rest.isReadable() && this.ctx.channel().isWritable()) {
			final int pieceBytes = Math.min(MAX_PIECE_BYTES, this.rest.readableBytes());
			this.ctx.writeAndFlush(new DefaultHttpContent(this.rest.readRetainedSlice(pieceBytes)));
		}
		this.writing = false;
		return !this.rest.isReadable();
	}

}
