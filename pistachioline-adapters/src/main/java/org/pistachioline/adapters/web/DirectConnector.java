package org.pistachioline.adapters.web;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;

/**
 * Opens TCP connections to the addresses themselves.
 */
public final class DirectConnector implements Connector {

	private final WebLoop loop;

	private final int connectMillis;

	/**
	 * Creates a connector.
	 * @param loop the thread on which the connections are served
	 * @param connectMillis how long a connection may take to be made
	 */
	public DirectConnector(WebLoop loop, int connectMillis) {
		this.loop = loop;
		this.connectMillis = connectMillis;
	}

	@Override
	public CompletableFuture<OpenedConnection> connect(String address) {
		final CompletableFuture<OpenedConnection> opened = new CompletableFuture<>();
		final ChannelFuture connecting = this.loop.client(this.connectMillis)
			.handler(new EmptyPipeline())
			.connect(socketAddress(address));
		connecting.addListener((ChannelFuture done) -> {
			if (!done.isSuccess()) {
				opened.completeExceptionally(done.cause());
			}
			else if (!opened.complete(new OpenedConnection(done.channel(), true))) {
				done.channel().close();
			}
		});
		opened.whenComplete((connection, failure) -> {
			if (opened.isCancelled()) {
				connecting.channel().close();
			}
		});
		return opened;
	}

	private static InetSocketAddress socketAddress(String address) {
		final int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	/** The user of the connection adds its handlers once it is established. */
	private static final class EmptyPipeline extends ChannelInitializer<Channel> {

		@Override
		protected void initChannel(Channel channel) {
			// Nothing is received before the user has sent a request.
		}

	}

}
