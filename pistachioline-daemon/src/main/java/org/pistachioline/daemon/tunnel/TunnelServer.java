package org.pistachioline.daemon.tunnel;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.ImmediateEventExecutor;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.reachability.TargetReachability;
import org.pistachioline.daemon.Lifecycle;

/**
 * Opens connections to targets on behalf of other daemons.
 * <p>
 * It only connects directly, so that a request passes at most one other daemon, and only
 * to listed targets, so that it cannot be used to reach anything else.
 */
public final class TunnelServer implements Lifecycle {

	/** Each tunnel takes two file descriptors. */
	private static final int MAX_TUNNELS = 512;

	private final WebLoop loop;

	private final String address;

	private final Connector targetConnector;

	private final Predicate<String> isTarget;

	private final TargetReachability reachability;

	private final ChannelGroup connections = new DefaultChannelGroup(ImmediateEventExecutor.INSTANCE);

	private final AtomicInteger openTunnels = new AtomicInteger();

	private final AtomicLong establishedTunnels = new AtomicLong();

	private volatile boolean accepting = true;

	private volatile Channel listener;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the thread on which the tunnels are served
	 * @param address the listen address, as host and port
	 * @param targetConnector connects to targets directly, on the same thread
	 * @param isTarget whether an address is that of a listed target
	 * @param reachability the targets that this daemon reaches itself
	 */
	TunnelServer(WebLoop loop, String address, Connector targetConnector, Predicate<String> isTarget,
			TargetReachability reachability) {
		this.loop = loop;
		this.address = address;
		this.targetConnector = targetConnector;
		this.isTarget = isTarget;
		this.reachability = reachability;
	}

	@Override
	public void start() {
		final int colon = this.address.lastIndexOf(':');
		this.listener = this.loop.server().childHandler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				TunnelServer.this.connections.add(channel);
				TunnelRequestHandler.addTo(channel.pipeline(), TunnelServer.this);
			}

		})
			.bind(new InetSocketAddress(this.address.substring(0, colon),
					Integer.parseInt(this.address.substring(colon + 1))))
			.syncUninterruptibly()
			.channel();
	}

	@Override
	public void stop() {
		if (this.listener != null) {
			this.listener.close().syncUninterruptibly();
		}
		this.connections.close();
	}

	/**
	 * Returns the address on which it listens.
	 * @return the address, as host and port; empty until it listens
	 */
	public String localAddress() {
		final Channel bound = this.listener;
		if (bound == null) {
			return "";
		}
		final InetSocketAddress local = (InetSocketAddress) bound.localAddress();
		return local.getAddress().getHostAddress() + ":" + local.getPort();
	}

	/**
	 * Returns the number of open tunnels.
	 * @return the number of tunnels
	 */
	public int openTunnels() {
		return this.openTunnels.get();
	}

	/**
	 * Returns the number of tunnels that were established.
	 * @return the number since the start
	 */
	public long establishedTunnels() {
		return this.establishedTunnels.get();
	}

	/**
	 * Refuses new tunnels from now on, because the daemon is leaving; open ones stay.
	 */
	public void stopAccepting() {
		this.accepting = false;
	}

	boolean acceptsTunnels() {
		return this.accepting && this.openTunnels.get() < MAX_TUNNELS;
	}

	boolean isTarget(String targetAddress) {
		return this.isTarget.test(targetAddress);
	}

	boolean reaches(String targetAddress) {
		return !this.reachability.isPartitioned() && !this.reachability.isUnreachable(targetAddress);
	}

	Connector targetConnector() {
		return this.targetConnector;
	}

	void onTunnel(Channel channel) {
		this.establishedTunnels.incrementAndGet();
		this.openTunnels.incrementAndGet();
		channel.closeFuture().addListener((closed) -> this.openTunnels.decrementAndGet());
	}

}
