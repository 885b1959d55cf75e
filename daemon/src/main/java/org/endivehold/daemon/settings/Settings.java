package org.endivehold.daemon.settings;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.ZoneName;

/**
 * The settings of one daemon. The component names are the field names in the settings file. The schema
 * {@code settings-schema.json} describes all fields and their units; {@code settings-defaults.json} has the defaults.
 *
 * @param host name of this host
 * @param zone availability zone of this host
 * @param seed seed for the daemon's random numbers; 0 to choose one at start
 * @param callers server for callers
 * @param operators server for operators
 * @param peers server for other daemons
 * @param store the platform's key-value service
 * @param limits limits on callers' requests
 * @param membership this daemon's entry in the key-value service
 * @param capacity limits on what this daemon may use of the upstreams
 * @param placement selection of upstreams
 * @param retry retries of failed attempts
 * @param ledger at-most-once execution of calls
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
     * The server for callers.
     *
     * @param address IP address to listen on
     * @param port TCP port; 0 for any free port
     * @param reattachSecretFile file with the secret that signs reattach tokens; must be the same for all daemons;
     *     without it callers get no reattach tokens
     */
    public record Callers(String address, int port, Optional<String> reattachSecretFile) {}

    /**
     * The server for operators.
     *
     * @param address IP address to listen on
     * @param port TCP port; 0 for any free port
     * @param tokenFile file with the operators' bearer token
     */
    public record Operators(String address, int port, String tokenFile) {}

    /**
     * The server for other daemons.
     *
     * @param address IP address to listen on, and under which other daemons connect
     * @param port TCP port; 0 for any free port
     * @param maxFrameBytes maximum size of a frame in bytes
     * @param tls certificates; empty if connections between daemons do not use TLS
     */
    public record Peers(String address, int port, int maxFrameBytes, Optional<Tls> tls) {}

    /**
     * Certificates for mutual TLS.
     *
     * @param certificateFile PEM file with the certificate of this host
     * @param keyFile PEM file with the private key of this host
     * @param authorityFile PEM file with the certificate of the authority that signs the certificates of all hosts
     */
    public record Tls(String certificateFile, String keyFile, String authorityFile) {}

    /**
     * The key-value service.
     *
     * @param endpoints base URLs, tried in turn
     * @param timeoutMillis timeout of a call in milliseconds
     * @param prefix prefix of all keys of this installation
     */
    public record Store(List<String> endpoints, long timeoutMillis, String prefix) {}

    /**
     * Limits on callers' requests.
     *
     * @param maxBodyBytes maximum size of a body in bytes
     * @param maxHeaderBytes maximum size of all headers of a request in bytes
     * @param bodyTimeoutMillis maximum time for a body to arrive, in milliseconds
     * @param maxBufferedBytes maximum total size of all request bodies held in memory, in bytes
     * @param maxConnections maximum number of connections of callers
     * @param maxQueued maximum number of queued requests
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
     * @param leaseMillis time after which the entry expires if its lease is not renewed, in milliseconds
     * @param renewMillis interval between renewals in milliseconds
     */
    public record Membership(long leaseMillis, long renewMillis) {}

    /**
     * Limits on what this daemon may use of the upstreams.
     *
     * @param policy name of the capacity policy: {@code cold-share}, {@code unlimited} or {@code equal-share}
     */
    public record CapacityPolicy(String policy) {}

    /**
     * Selection of upstreams.
     *
     * @param policy name of the placement policy
     */
    public record Placement(String policy) {}

    /**
     * Retries of failed attempts.
     *
     * @param maxAttempts maximum number of attempts for one request, including the first
     * @param budgetRatio number of retries allowed per first attempt
     */
    public record Retry(int maxAttempts, double budgetRatio) {}

    /**
     * At-most-once execution of calls.
     *
     * @param keepHours time for which entries are kept, in hours
     * @param maxAnswerBytes maximum size of a recorded answer in bytes
     */
    public record LedgerSettings(int keepHours, int maxAnswerBytes) {}

    /**
     * Graceful shutdown.
     *
     * @param lagMillis time for which the daemon accepts requests after it reports itself as not ready, in milliseconds
     * @param drainMillis maximum time after that for requests in progress to end, in milliseconds
     */
    public record Shutdown(long lagMillis, long drainMillis) {}
}
