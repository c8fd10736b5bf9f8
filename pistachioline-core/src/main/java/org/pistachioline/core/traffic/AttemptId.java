package org.pistachioline.core.traffic;

/**
 * Names one attempt at one request, so that an answer can be matched to it.
 *
 * @param requestId the request
 * @param number the attempt's number, from 1
 */
public record AttemptId(long requestId, int number) {

	/**
	 * Returns the form on the wire.
	 * @return such as {@code 17-1}
	 */
	public String wireForm() {
		return this.requestId + "-" + this.number;
	}

}
