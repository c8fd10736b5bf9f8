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
 * @param dialect reads and writes headers
 * @param streams the streams that are being relayed
 * @param callerGone is told the requests whose callers have gone
 * @param targets hears what targets say of themselves
 * @param gate holds back what targets want no more
 * @param crashes finds out which targets have died
 */
record RelayTools(Executor loop, WebClient client, RelayProtocol dialect, LiveStreams streams, LongConsumer callerGone,
		TargetListener targets, BackoffGate gate, CrashProbe crashes) {

}
