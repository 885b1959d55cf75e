/** What all stand-ins share: an HTTP server with a log and faults. */
package org.endivehold.standin.http;
