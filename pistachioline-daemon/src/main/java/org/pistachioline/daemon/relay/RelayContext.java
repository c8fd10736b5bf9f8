package org.pistachioline.daemon.relay;

import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.daemon.port.RelayProtocol;

/**
 * What every exchange of a daemon shares.
 *
 * @param loop the thread on which callers' and targets' connections are served
 * @param client connections to targets
 * @param protocol reads and writes headers
 * @param streams the streams that are being relayed
 * @param disconnectListener is told the requests whose callers have gone
 * @param targetReports hears what targets say of themselves
 * @param backoffGate holds back what targets want no more
 * @param crashProbe finds out which targets have died
 */
record RelayContext(Executor loop, WebClient client, RelayProtocol protocol, ActiveStreams streams,
		LongConsumer disconnectListener, TargetReportListener targetReports, BackoffGate backoffGate,
		CrashProbe crashProbe) {

}
