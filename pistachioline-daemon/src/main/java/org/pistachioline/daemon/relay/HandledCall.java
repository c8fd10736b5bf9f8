package org.pistachioline.daemon.relay;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * A request that is being answered.
 *
 * @param answer the answer; it never fails
 * @param callerGone is to be run when the caller's connection has closed
 */
record HandledCall(CompletionStage<HttpResponse> answer, Runnable callerGone) {

}
