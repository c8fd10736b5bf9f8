package org.pistachioline.adapters.web;

import io.netty.handler.codec.DefaultHeaders.NameValidator;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Creates header fields for the codec that fail when there are too many of them.
 * <p>
 * The codec limits their bytes only. A field of three bytes takes some hundred bytes of
 * memory, so a head of the largest size may take half a megabyte.
 */
final class BoundedFieldsFactory implements HttpHeadersFactory {

	/** Several times as many as a server sends. */
	static final int MAX_FIELDS = 256;

	private final DefaultHttpHeadersFactory factory;

	/**
	 * Creates a factory.
	 * @param factory creates the fields, without a bound on their number
	 */
	BoundedFieldsFactory(DefaultHttpHeadersFactory factory) {
		this.factory = factory;
	}

	@Override
	public HttpHeaders newHeaders() {
		return this.factory.withNameValidator(new FieldCounter(this.factory.getNameValidator())).newHeaders();
	}

	@Override
	public HttpHeaders newEmptyHeaders() {
		return newHeaders();
	}

	/**
	 * Counts the fields of one message as their names are checked.
	 */
	private static final class FieldCounter implements NameValidator<CharSequence> {

		private final NameValidator<CharSequence> names;

		private int fieldCount;

		FieldCounter(NameValidator<CharSequence> names) {
			this.names = names;
		}

		@Override
		public void validateName(CharSequence name) {
			this.fieldCount++;
			if (this.fieldCount > MAX_FIELDS) {
				throw new TooLongHttpHeaderException("More than " + MAX_FIELDS + " header fields were sent");
			}
			this.names.validateName(name);
		}

	}

}
