package org.pistachioline.core.traffic;

/**
 * Identifies one attempt at a request, so that a response can be matched to it.
 *
 * @param requestId the request
 * @param number the attempt's number, from 1
 */
public record AttemptId(long requestId, int number) {

	/**
	 * Returns the form that is sent to the target and expected back in its response.
	 * @return the id, such as {@code 17-1}
	 */
	public String wireForm() {
		return this.requestId + "-" + this.number;
	}

}
