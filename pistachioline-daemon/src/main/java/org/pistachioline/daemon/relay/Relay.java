package org.pistachioline.daemon.relay;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.placement.WarmConnections;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Relays callers' requests: combines the caller-facing server, the connections to targets
 * and the event loop that serves both.
 */
public final class Relay implements Lifecycle {

	/** Bounds the error of the configuration's age on a daemon without requests. */
	private static final long CONFIGURATION_CHECK_MILLIS = 1_000;

	private final WebLoop loop;

	private final ActiveStreams streams = new ActiveStreams();

	private final LoopMonitor loopMonitor;

	private final BackoffGate backoffGate;

	private final ConfigurationAge configuration;

	private final IncompleteResponses incompleteResponses;

	private final KeptResponses keptResponses = KeptResponses.ofHeap();

	private final UnexpectedResponses unexpectedResponses = new UnexpectedResponses();

	private final MalformedResponses malformedResponses = new MalformedResponses();

	private final RelayHandler handler;

	private final CallerServer callerServer;

	/**
	 * Creates a relay that does not listen yet.
	 * @param loop the thread that serves callers and targets; closed with the relay
	 * @param address the listen address for callers, as host and port
	 * @param protocol reads and writes the headers of callers and targets
	 * @param routes supplies the active configuration
	 * @param traffic schedules the requests
	 * @param loadReceiver receives the load that targets report, by target id
	 * @param instances receives the backoff requests and announced departures of
	 * instances
	 * @param targetConnector opens the connections to targets, on the same thread
	 */
	public Relay(WebLoop loop, String address, RelayProtocol protocol, Supplier<RouteTable> routes, TrafficDuty traffic,
			BiConsumer<String, LoadReport> loadReceiver, InstanceListener instances, Connector targetConnector) {
		this.loop = loop;
		this.loopMonitor = new LoopMonitor(loop, System::nanoTime);
		final WebClient client = new WebClient(this.loop, targetConnector, WarmConnections.KEEP_MILLIS,
				WarmConnections.MAX_PER_TARGET, this.unexpectedResponses);
		this.backoffGate = new BackoffGate(instances, System::nanoTime);
		this.configuration = new ConfigurationAge(routes, System::nanoTime);
		this.incompleteResponses = new IncompleteResponses(this.configuration);
		final RelayContext context = new RelayContext(this.loop, client, protocol, this.streams,
				traffic::onCallerDisconnected, new TargetReportDispatcher(loadReceiver, traffic), this.backoffGate,
				new CrashProbe(client::askWhetherRefused, traffic.crashMonitor()::onCrash), this.incompleteResponses,
				this.keptResponses, this.unexpectedResponses, this.malformedResponses);
		this.handler = new RelayHandler(this.configuration, context, traffic, this.loopMonitor);
		this.callerServer = new CallerServer(this.loop, address, this.handler, this.configuration);
	}

	/**
	 * Sets which targets are evacuated; attempts that were scheduled at them are
	 * withheld. Must be called before the start.
	 * @param evacuated decides by the target's id; must not block
	 */
	public void setEvacuatedTargets(Predicate<String> evacuated) {
		this.backoffGate.setEvacuatedTargets(evacuated);
	}

	/**
	 * Sets how far the active configuration is behind that of other daemons. Must be
	 * called before the start.
	 * @param lag supplies the lag now
	 */
	public void setConfigurationLag(Supplier<VersionLag> lag) {
		this.handler.setConfigurationLag(lag);
	}

	@Override
	public void start() {
		this.callerServer.start();
		this.loopMonitor.start();
		this.loop.every(this.streams::reportProgress, ActiveStreams.PROGRESS_INTERVAL_MILLIS);
		this.loop.every(this.configuration::get, CONFIGURATION_CHECK_MILLIS);
	}

	/**
	 * Directs callers to other daemons: each connection ends with its next response.
	 */
	public void leave() {
		this.callerServer.leave();
	}

	/**
	 * Stops listening and ends each connection once all requests that were read on it are
	 * answered.
	 * @return completes when the last connection is closed
	 */
	public CompletableFuture<Void> finish() {
		return this.callerServer.finish();
	}

	@Override
	public void stop() {
		this.callerServer.stop();
		this.loop.close();
	}

	/**
	 * Returns what is held in memory for callers.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.callerServer.heldBytes();
	}

	/**
	 * Returns the monitor of the event loop.
	 * @return the monitor
	 */
	public LoopMonitor loopMonitor() {
		return this.loopMonitor;
	}

	/**
	 * Returns the number of requests received from callers.
	 * @return the number since the start
	 */
	public long receivedRequestCount() {
		return this.handler.receivedRequestCount();
	}

	/**
	 * Returns how many responses the daemon ended before they were complete.
	 * @param reason the code of the reason, one of {@link IncompleteResponses#REASONS}
	 * @return the number since the start
	 */
	public long incompleteResponseCount(String reason) {
		return this.incompleteResponses.count(reason);
	}

	/**
	 * Returns how many responses of targets did not belong to the request on their
	 * connection.
	 * @param reason how that was found
	 * @return the number since the start
	 */
	public long unexpectedResponseCount(UnexpectedReason reason) {
		return this.unexpectedResponses.count(reason);
	}

	/**
	 * Returns how many responses of targets broke the grammar of HTTP.
	 * @param part the first part that did
	 * @return the number since the start
	 */
	public long malformedResponseCount(AnswerPart part) {
		return this.malformedResponses.count(part);
	}

	/**
	 * Returns how many connections were closed since a target sent too many bytes.
	 * @return the number since the start
	 */
	public long oversizedResponseCount() {
		return this.incompleteResponses.oversizedCount();
	}

	/**
	 * Returns the memory of all responses that are kept until they are complete.
	 * @return the number of bytes now
	 */
	public long keptResponseBytes() {
		return this.keptResponses.totalBytes();
	}

	/**
	 * Returns the largest memory of all responses that were kept until complete.
	 * @return the number of bytes
	 */
	public long keptResponsePeakBytes() {
		return this.keptResponses.peakBytes();
	}

	/**
	 * Returns how many responses were ended because all kept ones together were too
	 * large.
	 * @return the number since the start
	 */
	public long responsesEndedForSumCount() {
		return this.keptResponses.endedCount();
	}

	/**
	 * Returns the listen address for callers.
	 * @return the address, as host and port; empty until the relay listens
	 */
	public String callerAddress() {
		return this.callerServer.localAddress();
	}

	/**
	 * Returns whether the relay accepts connections.
	 * @return whether callers can connect
	 */
	public boolean listening() {
		return this.callerServer.listening();
	}

}
