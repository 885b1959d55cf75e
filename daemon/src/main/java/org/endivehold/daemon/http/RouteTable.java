package org.endivehold.daemon.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.config.Configuration;
import org.endivehold.config.Route;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.ModelName;

/**
 * Finds the route of a request. The model name of a generation request is first looked up as a route name; if there is
 * no such route, it selects the first route in order of names whose version belongs to the model. Any other request
 * goes to the plain route with the longest matching path prefix.
 */
final class RouteTable {
    private final Map<String, Route> byModel = new HashMap<>();
    private final List<Route> plain;

    RouteTable(Configuration configuration) {
        for (Route route : configuration.routes().values()) {
            if (route.kind() == Route.Kind.GENERATION) {
                route.version()
                        .map(configuration.versions()::get)
                        .ifPresent(v -> byModel.putIfAbsent(v.model().value(), route));
            }
        }
        for (Route route : configuration.routes().values()) {
            if (route.kind() == Route.Kind.GENERATION) {
                byModel.put(route.name().value(), route);
            }
        }
        plain = configuration.routes().values().stream()
                .filter(route -> route.kind() == Route.Kind.PLAIN)
                .sorted(Comparator.comparingInt(route -> -prefix(route).length()))
                .toList();
    }

    /**
     * Finds a generation route.
     *
     * @param model the model name in the request
     * @return the route
     * @throws EndiveholdException of type {@code UNKNOWN_MODEL} if no route matches
     */
    Route generation(ModelName model) throws EndiveholdException {
        Route route = byModel.get(model.value());
        if (route == null) {
            throw new EndiveholdException(ErrorType.UNKNOWN_MODEL, model);
        }
        return route;
    }

    /**
     * Finds a plain route. A prefix only matches up to the end of a path segment.
     *
     * @param path the path of the request
     * @return the route with the longest matching prefix; empty if none matches
     */
    Optional<Route> plain(String path) {
        return plain.stream().filter(route -> matches(prefix(route), path)).findFirst();
    }

    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
    }

    private static String prefix(Route route) {
        return route.pathPrefix().orElse("");
    }
}
