package org.pistachioline.daemon.port;

import java.util.Arrays;

/**
 * The configuration in the encoding in which daemons pass it to each other, which only
 * the platform's {@link RouteSource} reads and writes.
 */
public final class ConfigurationCopy {

	private final long version;

	private final byte[] content;

	/**
	 * Creates a copy.
	 * @param version the configuration's version
	 * @param content the encoded configuration, which must not change afterwards
	 */
	public ConfigurationCopy(long version, byte[] content) {
		this.version = version;
		this.content = Arrays.copyOf(content, content.length);
	}

	/**
	 * Returns the configuration's version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the encoded configuration.
	 * @return a copy of the bytes
	 */
	public byte[] content() {
		return Arrays.copyOf(this.content, this.content.length);
	}

}
