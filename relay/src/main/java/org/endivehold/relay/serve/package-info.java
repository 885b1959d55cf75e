/** Requests of callers: how they are read, sent to upstreams, repeated or resumed, and answered. */
package org.endivehold.relay.serve;
