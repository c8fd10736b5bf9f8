package org.pistachioline.daemon.peer;

import java.io.File;

import javax.net.ssl.SSLException;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;

/**
 * Provides mutual TLS for the connections between daemons: each side presents a
 * certificate signed by the operator's certificate authority. Host names are not
 * verified, as daemons connect by IP address and any daemon may have any address. The
 * authority must therefore sign certificates for daemons only.
 */
public final class PeerTls {

	private final SslContext serverContext;

	private final SslContext clientContext;

	private PeerTls(SslContext server, SslContext client) {
		this.serverContext = server;
		this.clientContext = client;
	}

	/**
	 * Loads certificates and key from files.
	 * @param certificate the daemon's certificate with its chain, as PEM
	 * @param key the private key of the certificate, as PEM
	 * @param authority the certificates of the authority, as PEM
	 * @return the TLS contexts for both sides of a connection
	 * @throws IllegalArgumentException if a file cannot be used
	 */
	public static PeerTls read(File certificate, File key, File authority) {
		try {
			return new PeerTls(
					SslContextBuilder.forServer(certificate, key)
						.trustManager(authority)
						.clientAuth(ClientAuth.REQUIRE)
						.protocols("TLSv1.3")
						.build(),
					SslContextBuilder.forClient()
						.keyManager(certificate, key)
						.trustManager(authority)
						.endpointIdentificationAlgorithm(null)
						.protocols("TLSv1.3")
						.build());
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw new IllegalArgumentException("Cannot load the files configured by peers.tls_*: " + ex.getMessage(),
					ex);
		}
	}

	SslHandler handler(SocketChannel channel, boolean serverSide) {
		final SslHandler handler = (serverSide ? this.serverContext : this.clientContext).newHandler(channel.alloc());
		handler.setHandshakeTimeoutMillis(PeerLimits.HANDSHAKE_TIMEOUT_MILLIS);
		return handler;
	}

}
