/**
 * Codecs between the core's immutable data and protobuf.
 */
package org.pistachioline.adapters.codec;
