package org.pistachioline.bench;

/**
 * One named measurement.
 */
public interface Benchmark {

	/**
	 * Returns the name on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Measures and prints each figure.
	 * @param figures takes the figures
	 * @throws Exception if it cannot be measured
	 */
	void run(Figures figures) throws Exception;

}
