package org.pistachioline.adapters.toml;

import java.util.List;
import java.util.stream.Collectors;

import org.pistachioline.core.manifest.Fault;

/**
 * Says everything that is wrong with one file.
 */
public final class InvalidInputException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<Fault> faults;

	/**
	 * Creates the exception.
	 * @param file the file's name
	 * @param faults what is wrong
	 */
	public InvalidInputException(String file, List<Fault> faults) {
		super(faults.stream().map((fault) -> file + ": " + fault).collect(Collectors.joining("\n")));
		this.faults = List.copyOf(faults);
	}

	/**
	 * Returns what is wrong.
	 * @return the faults
	 */
	public List<Fault> faults() {
		return this.faults;
	}

}
