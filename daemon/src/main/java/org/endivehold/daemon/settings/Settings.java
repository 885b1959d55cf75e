package org.endivehold.daemon.settings;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.ZoneName;

/**
 * The settings of one daemon. The file {@code settings-schema.json} describes every field, its unit and its default
 * ({@code settings-defaults.json}).
 *
 * @param host this host
 * @param zone its availability zone
 * @param seed seed of the daemon's random numbers; 0 for one drawn at start
 * @param callers port for callers
 * @param operators port for operators
 * @param peers port for other daemons
 * @param store the platform's key-value service
 * @param limits bounds on what callers may send
 * @param membership this daemon's entry in the key-value service
 * @param capacity what this daemon may use of the upstreams
 * @param placement choice of upstreams
 * @param retry repeated attempts
 * @param ledger at-most-once calls
 * @param shutdown graceful shutdown
 */
public record Settings(
        HostId host,
        ZoneName zone,
        long seed,
        Callers callers,
        Operators operators,
        Peers peers,
        Store store,
        Limits limits,
        Membership membership,
        CapacityPolicy capacity,
        Placement placement,
        Retry retry,
        LedgerSettings ledger,
        Shutdown shutdown) {
    /**
     * The callers' port.
     *
     * @param address IP address
     * @param port TCP port; 0 for any free one
     * @param reattachSecretFile file with the secret that signs reattach tokens, the same at all daemons; without it
     *     callers get no tokens
     */
    public record Callers(String address, int port, Optional<String> reattachSecretFile) {}

    /**
     * The operators' port.
     *
     * @param address IP address
     * @param port TCP port; 0 for any free one
     * @param tokenFile file with the operators' bearer token
     */
    public record Operators(String address, int port, String tokenFile) {}

    /**
     * The peers' port.
     *
     * @param address IP address
     * @param port TCP port; 0 for any free one
     * @param maxFrameBytes largest frame in bytes
     * @param tls certificates, if peers use TLS
     */
    public record Peers(String address, int port, int maxFrameBytes, Optional<Tls> tls) {}

    /**
     * Certificates for mutual TLS.
     *
     * @param certificateFile PEM file with this host's certificate
     * @param keyFile PEM file with its key
     * @param authorityFile PEM file with the authority that signs all hosts
     */
    public record Tls(String certificateFile, String keyFile, String authorityFile) {}

    /**
     * The key-value service.
     *
     * @param endpoints base URLs, tried in turn
     * @param timeoutMillis time for one call in milliseconds
     * @param prefix prefix of all keys of this installation
     */
    public record Store(List<String> endpoints, long timeoutMillis, String prefix) {}

    /**
     * Bounds on what callers may send.
     *
     * @param maxBodyBytes largest body in bytes
     * @param maxHeaderBytes largest header block in bytes
     * @param bodyTimeoutMillis time for a body to arrive in milliseconds
     * @param maxBufferedBytes bytes of all bodies and unread answers together
     * @param maxConnections most connections of callers
     * @param maxQueued most waiting requests
     */
    public record Limits(
            int maxBodyBytes,
            int maxHeaderBytes,
            long bodyTimeoutMillis,
            long maxBufferedBytes,
            int maxConnections,
            int maxQueued) {}

    /**
     * This daemon's entry in the key-value service.
     *
     * @param leaseMillis time to live of the entry without a renewal, in milliseconds
     * @param renewMillis time between renewals, in milliseconds
     */
    public record Membership(long leaseMillis, long renewMillis) {}

    /**
     * What this daemon may use of the upstreams.
     *
     * @param policy {@code cold-share}, {@code unlimited} or {@code equal-share}
     */
    public record CapacityPolicy(String policy) {}

    /**
     * Choice of upstreams.
     *
     * @param policy name of the placement policy
     */
    public record Placement(String policy) {}

    /**
     * Repeated attempts.
     *
     * @param maxAttempts most attempts for one request
     * @param budgetRatio retries allowed per first attempt
     */
    public record Retry(int maxAttempts, double budgetRatio) {}

    /**
     * At-most-once calls.
     *
     * @param keepHours time that entries are kept, in hours
     * @param maxAnswerBytes largest recorded answer in bytes
     */
    public record LedgerSettings(int keepHours, int maxAnswerBytes) {}

    /**
     * Graceful shutdown.
     *
     * @param lagMillis time that the daemon still accepts after turning not ready, in milliseconds
     * @param drainMillis longest time for streams to end in milliseconds
     */
    public record Shutdown(long lagMillis, long drainMillis) {}
}
