/** The HTTP server for callers: parses requests into typed calls to the runners and writes answers and errors. */
package org.endivehold.daemon.http;
