package org.endivehold.daemon.entry;

import io.vertx.core.json.jackson.JacksonCodec;
import io.vertx.core.spi.JsonFactory;
import io.vertx.core.spi.json.JsonCodec;

/**
 * Makes Vert.x encode and decode JSON without Jackson's object mapper, whose initialization would take a good part of a
 * daemon's start. Only JSON objects, arrays and simple values are used here, no mapping to Java classes.
 */
public final class StreamingJsonFactory implements JsonFactory {
    private static final JsonCodec CODEC = new JacksonCodec();

    /** Is called by the service loader. */
    public StreamingJsonFactory() {}

    @Override
    public JsonCodec codec() {
        return CODEC;
    }
}
