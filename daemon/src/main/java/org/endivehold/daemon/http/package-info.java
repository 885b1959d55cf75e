/** The port for callers: HTTP in, typed calls to the runners, answers and refusals out. */
package org.endivehold.daemon.http;
