package org.pistachioline.daemon.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.port.ResponseVerdict;

/**
 * Passes every request on as it is, and every answer except those by which a target
 * declines or which name another request.
 */
final class StubProtocol implements RelayProtocol {

	/** The header by which a target declines a request. */
	static final String DECLINED_HEADER = "Declined";

	/** The header by which a request and its answer may name the request. */
	static final String ID_HEADER = "Request-Id";

	private static final Runnable NOTHING = () -> {
	};

	private volatile Runnable nextRequestListener = NOTHING;

	private boolean unsendable;

	private int requestsBuilt;

	int requestsBuilt() {
		return this.requestsBuilt;
	}

	/**
	 * Fails to build each request from now on.
	 */
	void makeUnsendable() {
		this.unsendable = true;
	}

	/**
	 * Sets what runs once, on the loop's thread, when the next request is read.
	 * @param listener the step
	 */
	void onNextRequest(Runnable listener) {
		this.nextRequestListener = listener;
	}

	@Override
	public RequestMetadata readRequest(HeaderFields headers) {
		final Runnable listener = this.nextRequestListener;
		this.nextRequestListener = NOTHING;
		listener.run();
		return new RequestMetadata(headers.first(ID_HEADER).orElse("r7"), OptionalLong.empty(), Optional.empty(),
				Optional.empty(), 100, 60, Optional.empty());
	}

	@Override
	public WebRequest toTargetRequest(RelayedRequest request, TargetView target, long remainingMillis,
			Optional<String> lastEventId) {
		if (this.unsendable) {
			throw new IllegalArgumentException("The request has no form for targets");
		}
		this.requestsBuilt++;
		final WebRequest unnamed = new WebRequest(request.method(), request.pathAndQuery(), request.headers(),
				request.body());
		return request.headers().first(ID_HEADER).isPresent() ? unnamed.identifiedBy(ID_HEADER) : unnamed;
	}

	@Override
	public ResponseVerdict classify(RelayedRequest request, AnswerHead head) {
		if (head.header(ID_HEADER).filter((id) -> !id.equals(request.metadata().requestId())).isPresent()) {
			return ResponseVerdict.MISMATCHED;
		}
		return head.header(DECLINED_HEADER).isPresent() ? ResponseVerdict.DECLINED : ResponseVerdict.VALID;
	}

	@Override
	public Optional<LoadReport> load(AnswerHead head, long nowNanos) {
		return Optional.empty();
	}

	@Override
	public OptionalDouble requestLimit(AnswerHead head) {
		return OptionalDouble.empty();
	}

	@Override
	public OptionalLong backoffMillis(AnswerHead head) {
		return OptionalLong.empty();
	}

	@Override
	public boolean isLeaving(AnswerHead head) {
		return false;
	}

}
