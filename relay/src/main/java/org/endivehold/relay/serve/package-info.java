/** Serves the requests of callers: reads them, sends them to upstreams, retries or resumes them, and responds. */
package org.endivehold.relay.serve;
