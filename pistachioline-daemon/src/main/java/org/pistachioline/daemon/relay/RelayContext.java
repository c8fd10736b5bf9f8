package org.pistachioline.daemon.relay;

import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.daemon.port.RelayProtocol;

/**
 * The collaborators that all exchanges of a daemon share.
 *
 * @param loop the event loop that serves the connections of callers and targets
 * @param client sends requests to targets
 * @param protocol reads and writes headers
 * @param streams the streams that are being relayed
 * @param disconnectListener receives the ids of requests whose callers have disconnected
 * @param targetReports receives the load and limits that targets report
 * @param backoffGate withholds attempts at targets that requested backoff or are leaving
 * @param crashProbe determines which targets have crashed
 * @param incompleteResponses logs the responses that the daemon ends incomplete
 * @param keptResponses bounds the memory of responses that are not complete
 * @param unexpectedResponses logs the responses that belong to no request
 * @param malformedResponses logs the responses that break the grammar of HTTP
 */
record RelayContext(Executor loop, WebClient client, RelayProtocol protocol, ActiveStreams streams,
		LongConsumer disconnectListener, TargetReportListener targetReports, BackoffGate backoffGate,
		CrashProbe crashProbe, IncompleteResponses incompleteResponses, KeptResponses keptResponses,
		UnexpectedResponses unexpectedResponses, MalformedResponses malformedResponses) {

}
