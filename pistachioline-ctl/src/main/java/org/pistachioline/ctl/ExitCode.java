package org.pistachioline.ctl;

/**
 * The client's exit codes.
 */
public enum ExitCode {

	/** Done. */
	DONE(0),

	/** Failed; what was asked for did not happen. */
	FAILED(1),

	/** The command line or a file is not valid; nothing was done. */
	USAGE(2),

	/** Accepted, but not yet in force on every live daemon. */
	NOT_IN_FORCE(3),

	/** Another manifest was accepted on the same base version. */
	BEATEN(4),

	/** It is not known whether the manifest was accepted. */
	UNKNOWN(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the code.
	 * @return the process's exit status
	 */
	public int code() {
		return this.code;
	}

}
