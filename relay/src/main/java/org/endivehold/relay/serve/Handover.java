package org.endivehold.relay.serve;

/** Hands a request over to another daemon, if this one cannot reach the upstreams of its service. */
interface Handover {
    /**
     * Sends the request by way of another daemon, unless this daemon reaches the service by itself.
     *
     * @param progress how far the request has come
     * @param otherwise continues at this daemon; runs if the request is not handed over, or no other daemon takes it
     */
    void tryForward(RequestProgress progress, Runnable otherwise);
}
