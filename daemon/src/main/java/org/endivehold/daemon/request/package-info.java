/** Runs requests from admission to the last byte of the answer: queueing, placement, streaming and retries. */
package org.endivehold.daemon.request;
