package org.endivehold.daemon.peer;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import org.endivehold.daemon.settings.Settings;

/** Options of the TCP sockets between daemons, with mutual TLS if the settings name certificates. */
final class PeerSocketOptions {
    static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private PeerSocketOptions() {}

    static NetServerOptions serverOptions(Settings.Peers peers) {
        NetServerOptions options = new NetServerOptions()
                .setHost(peers.address())
                .setPort(peers.port())
                .setTcpNoDelay(true);
        peers.tls().ifPresent(tls -> options.setSsl(true)
                .setKeyCertOptions(keyCertOptions(tls))
                .setTrustOptions(trustOptions(tls))
                .setClientAuth(ClientAuth.REQUIRED));
        return options;
    }

    static NetClientOptions clientOptions(Settings.Peers peers) {
        NetClientOptions options =
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true);
        peers.tls().ifPresent(tls -> options.setSsl(true)
                .setKeyCertOptions(keyCertOptions(tls))
                .setTrustOptions(trustOptions(tls))
                .setHostnameVerificationAlgorithm(""));
        return options;
    }

    private static PemKeyCertOptions keyCertOptions(Settings.Tls tls) {
        return new PemKeyCertOptions().setCertPath(tls.certificateFile()).setKeyPath(tls.keyFile());
    }

    private static PemTrustOptions trustOptions(Settings.Tls tls) {
        return new PemTrustOptions().addCertPath(tls.authorityFile());
    }
}
