package org.pistachioline.daemon.peer;

import java.io.File;

import javax.net.ssl.SSLException;

import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;

/**
 * Mutual TLS on the links between daemons: each side shows a certificate that the
 * operators' own authority signed. Names are not compared, as daemons talk by IP numbers
 * and any daemon may take any address; the authority must sign nothing but daemons.
 */
public final class PeerTls {

	private final SslContext serverContext;

	private final SslContext clientContext;

	private PeerTls(SslContext server, SslContext client) {
		this.serverContext = server;
		this.clientContext = client;
	}

	/**
	 * Reads the files.
	 * @param certificate the daemon's certificate with its chain, as PEM
	 * @param key its private key, as PEM
	 * @param trust the certificates of the authority, as PEM
	 * @return the contexts of both sides
	 */
	public static PeerTls read(File certificate, File key, File trust) {
		try {
			return new PeerTls(
					SslContextBuilder.forServer(certificate, key)
						.trustManager(trust)
						.clientAuth(ClientAuth.REQUIRE)
						.protocols("TLSv1.3")
						.build(),
					SslContextBuilder.forClient()
						.keyManager(certificate, key)
						.trustManager(trust)
						.endpointIdentificationAlgorithm(null)
						.protocols("TLSv1.3")
						.build());
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw new IllegalArgumentException("The files of peers.tls_* cannot be used: " + ex.getMessage(), ex);
		}
	}

	SslHandler handler(SocketChannel channel, boolean serverSide) {
		final SslHandler handler = (serverSide ? this.serverContext : this.clientContext).newHandler(channel.alloc());
		handler.setHandshakeTimeoutMillis(PeerLimits.HANDSHAKE_TIMEOUT_MILLIS);
		return handler;
	}

}
