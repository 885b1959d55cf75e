package org.endivehold.relay.state;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;

/** Decodes upstream entries of the form {@code ZONE STATE [START]} and configurations that consist of a version. */
final class PlainTextDecoder implements StoreDecoder {
    /** A value that overflows the stack while it is decoded. */
    static final String UNBEARABLE = "unbearable";

    private static void overflow(Buffer value) {
        if (value.toString().equals(UNBEARABLE)) {
            throw new StackOverflowError();
        }
    }

    @Override
    public String operatorPrefix() {
        return "o/";
    }

    @Override
    public String upstreamPrefix() {
        return "s/";
    }

    @Override
    public String daemonPrefix() {
        return "d/";
    }

    @Override
    public String barredTraitPrefix() {
        return "b/";
    }

    @Override
    public String configurationKey() {
        return "o/config";
    }

    @Override
    public String evacuatedZonePrefix() {
        return "o/out/";
    }

    @Override
    public RoutingTable configuration(Buffer value) throws EndiveholdException {
        overflow(value);
        try {
            return RoutingTable.builder(Long.parseLong(value.toString())).build();
        } catch (NumberFormatException e) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, value);
        }
    }

    @Override
    public UpstreamEntry upstream(String id, Buffer value) throws EndiveholdException {
        overflow(value);
        String[] words = value.toString().split(" ", -1);
        if (words.length < 2) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, value);
        }
        SocketAddress address = SocketAddress.inetSocketAddress(1, "10.0.0.1");
        long startedAt = words.length > 2 ? Long.parseLong(words[2]) : 0;
        return new UpstreamEntry(id, "service", address, words[0], 1, words[1].equals("leaving"), 0, startedAt);
    }
}
