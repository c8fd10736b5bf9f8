package org.pistachioline.daemon.relay;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * The path of callers' requests: their server, the connections to targets and the thread
 * that serves both.
 */
public final class Relay implements Lifecycle {

	/** A target in another zone answers within milliseconds; one that is gone never. */
	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	/** Shorter than the few seconds for which targets keep idle connections. */
	private static final long IDLE_CONNECTION_MILLIS = 1_500;

	private static final int MAX_IDLE_PER_TARGET = 6;

	private final WebLoop loop = new WebLoop("relay");

	private final ActiveStreams streams = new ActiveStreams();

	private final RelayHandler handler;

	private final CallerServer callerServer;

	/**
	 * Creates the path.
	 * @param address where callers connect, as host and port
	 * @param dialect the headers of callers and targets
	 * @param routes gives the configuration in force
	 * @param traffic decides
	 * @param loads is told what targets say of their load, by target
	 * @param instances is told what targets want of this daemon
	 * @param leaving whether the daemon is about to stop
	 */
	public Relay(String address, RelayProtocol dialect, Supplier<RouteTable> routes, TrafficDuty traffic,
			BiConsumer<String, LoadReport> loads, InstanceListener instances, BooleanSupplier leaving) {
		final WebClient client = new WebClient(this.loop, CONNECT_TIMEOUT_MILLIS, IDLE_CONNECTION_MILLIS,
				MAX_IDLE_PER_TARGET);
		final RelayContext tools = new RelayContext(this.loop, client, dialect, this.streams,
				traffic::onCallerDisconnected, new TargetReportDispatcher(loads, traffic),
				new BackoffGate(instances, System::nanoTime),
				new CrashProbe(client::askWhetherRefused, traffic.crashMonitor()::onCrash));
		this.handler = new RelayHandler(routes, tools, traffic, leaving);
		this.callerServer = new CallerServer(this.loop, address, this.handler, routes);
	}

	@Override
	public void start() {
		this.callerServer.start();
		this.loop.every(this.streams::reportProgress, ActiveStreams.PROGRESS_INTERVAL_MILLIS);
	}

	@Override
	public void stop() {
		this.callerServer.stop();
		this.loop.close();
	}

	/**
	 * Returns how many requests have come.
	 * @return the number of requests
	 */
	public long receivedRequestCount() {
		return this.handler.receivedRequestCount();
	}

	/**
	 * Returns where callers connect.
	 * @return the address, as host and port; empty until it listens
	 */
	public String callerAddress() {
		return this.callerServer.localAddress();
	}

	/**
	 * Returns whether it listens.
	 * @return whether callers can connect
	 */
	public boolean listening() {
		return this.callerServer.listening();
	}

}
