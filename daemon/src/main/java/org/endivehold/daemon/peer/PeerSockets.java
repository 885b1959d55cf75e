package org.endivehold.daemon.peer;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import org.endivehold.daemon.settings.Settings;

/** Options of the peers' sockets, with mutual TLS if certificates are set. */
final class PeerSockets {
    static final int CONNECT_MILLIS = 1_000;

    private PeerSockets() {}

    static NetServerOptions server(Settings.Peers peers) {
        NetServerOptions options = new NetServerOptions()
                .setHost(peers.address())
                .setPort(peers.port())
                .setTcpNoDelay(true);
        peers.tls().ifPresent(tls -> options.setSsl(true)
                .setKeyCertOptions(key(tls))
                .setTrustOptions(trust(tls))
                .setClientAuth(ClientAuth.REQUIRED));
        return options;
    }

    static NetClientOptions client(Settings.Peers peers) {
        NetClientOptions options =
                new NetClientOptions().setConnectTimeout(CONNECT_MILLIS).setTcpNoDelay(true);
        peers.tls().ifPresent(tls -> options.setSsl(true)
                .setKeyCertOptions(key(tls))
                .setTrustOptions(trust(tls))
                .setHostnameVerificationAlgorithm(""));
        return options;
    }

    private static PemKeyCertOptions key(Settings.Tls tls) {
        return new PemKeyCertOptions().setCertPath(tls.certificateFile()).setKeyPath(tls.keyFile());
    }

    private static PemTrustOptions trust(Settings.Tls tls) {
        return new PemTrustOptions().addCertPath(tls.authorityFile());
    }
}
