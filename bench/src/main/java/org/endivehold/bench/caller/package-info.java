/** Load generator: callers that send requests over HTTP, and the results that they saw. */
package org.endivehold.bench.caller;
