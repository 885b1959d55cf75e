package org.endivehold.relay.serve;

import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RequestKind;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.ServiceShare;

/**
 * Finds the route and customer of a request and starts the handler that serves it: at this daemon, or by way of another
 * one if this daemon does not reach the service. A request that another daemon forwarded is served here or not at all.
 */
final class RequestDispatcher {
    /** Timeout for opening a connection to another daemon, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** Retry-after of requests that are refused for lack of a service, in milliseconds. */
    static final int NO_SERVICE_RETRY_AFTER_MILLIS = 500;

    private final RelayContext context;
    private final UpstreamClient client;
    private final NetClient peers;
    private final PlainUpstreamLoads plainLoads = new PlainUpstreamLoads();

    RequestDispatcher(RelayContext context) {
        this.context = context;
        client = new UpstreamClient(context);
        peers = context.vertx()
                .createNetClient(new NetClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setTcpNoDelay(true));
    }

    /** Serves a request of a caller. */
    void dispatch(Exchange exchange, IncomingRequest request) {
        RoutingTable table = context.fleet().table().orElseThrow();
        Optional<RelayRoute> route = route(exchange, table, request);
        if (route.isEmpty()) {
            return;
        }
        Optional<Customer> customer =
                table.customer(exchange.requestHead().apiKey().orElse(null));
        if (customer.isEmpty() && table.apiKeysRequired() && !route.get().publicAccess()) {
            addVersionSteps(exchange, table);
            exchange.fail(401, ErrorType.UNAUTHENTICATED, 0);
            return;
        }
        ServedRequest served = new ServedRequest(exchange, request, true);
        exchange.admit(route.get(), customer, served::cancel);
        served.start(
                table.service(route.get().selectService(context.random().nextDouble())),
                RequestProgress.none(exchange.requestHead()));
    }

    /**
     * Serves a request that another daemon forwarded.
     *
     * @param exchange the request and the response to it
     * @param request the request
     * @param customer the customer to whom the other daemon attributed it
     * @param serviceName the service that the other daemon selected
     * @param progress how far it had come there
     */
    void dispatchForwarded(
            Exchange exchange,
            IncomingRequest request,
            Optional<Customer> customer,
            String serviceName,
            RequestProgress progress) {
        RoutingTable table = context.fleet().table().orElseThrow();
        Optional<RelayRoute> route = route(exchange, table, request);
        if (route.isEmpty()) {
            return;
        }
        ServedRequest served = new ServedRequest(exchange, request, false);
        exchange.admit(route.get(), customer, served::cancel);
        boolean allowed =
                route.get().services().stream().map(ServiceShare::service).anyMatch(serviceName::equals);
        String selected = allowed
                ? serviceName
                : route.get().selectService(context.random().nextDouble());
        served.start(table.service(selected), progress);
    }

    /** Finds the route of a request; refuses it if there is none. */
    private Optional<RelayRoute> route(Exchange exchange, RoutingTable table, IncomingRequest request) {
        String host = request.host();
        Optional<RelayRoute> route = host == null ? Optional.empty() : table.route(host, request.path());
        if (route.isEmpty()) {
            addVersionSteps(exchange, table);
            exchange.fail(404, ErrorType.UNKNOWN_ROUTE, 0);
        }
        return route;
    }

    /** Notes by which version a request is refused, and how long ago that version was confirmed to be the newest. */
    private void addVersionSteps(Exchange exchange, RoutingTable table) {
        exchange.addStep("version:" + table.version());
        exchange.addStep("confirmed:" + Math.round(context.fleet().sinceTableConfirmedMillis()));
    }

    /** An admitted request and the handler that serves it at present. */
    private final class ServedRequest implements Handover {
        private final Exchange exchange;
        private final IncomingRequest request;
        private final boolean mayForward;
        private RelayService service;
        private RequestHandler handler;

        ServedRequest(Exchange exchange, IncomingRequest request, boolean mayForward) {
            this.exchange = exchange;
            this.request = request;
            this.mayForward = mayForward;
        }

        void cancel() {
            if (handler != null) {
                handler.cancel();
            }
        }

        void start(Optional<RelayService> found, RequestProgress progress) {
            if (exchange.ended()) {
                return;
            }
            if (found.isEmpty()) {
                exchange.refuse(ErrorType.NO_UPSTREAM, NO_SERVICE_RETRY_AFTER_MILLIS);
                return;
            }
            service = found.get();
            tryForward(progress, () -> serveHere(progress));
        }

        private void serveHere(RequestProgress progress) {
            if (mayForward && context.paths().isCutOff(service.name())) {
                exchange.addStep("cut-off");
                exchange.refuse(
                        ErrorType.UPSTREAM_UNREACHABLE,
                        NO_SERVICE_RETRY_AFTER_MILLIS + context.random().nextInt(NO_SERVICE_RETRY_AFTER_MILLIS));
                return;
            }
            boolean generation = exchange.route().kind() == RequestKind.STREAM
                    && service.engine().isPresent();
            handler = generation
                    ? new StreamRequestHandler(context, exchange, client, request.outgoing(), service, progress, this)
                    : new PlainRequestHandler(
                            context, exchange, plainLoads, client, request.outgoing(), service, progress, this);
            handler.start();
        }

        @Override
        public void tryForward(RequestProgress progress, Runnable otherwise) {
            if (!mayForward) {
                otherwise.run();
                return;
            }
            context.paths().whenSettled(() -> {
                if (exchange.ended()) {
                    return;
                }
                if (context.paths().prefersLocal(service.name())) {
                    otherwise.run();
                    return;
                }
                RequestHandler before = handler;
                handler = new ForwardedRequest(context, exchange, peers, request, service.name(), progress, () -> {
                    handler = before;
                    otherwise.run();
                });
                handler.start();
            });
        }
    }
}
