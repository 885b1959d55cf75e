/** Base of all stand-ins: an HTTP server with a log and injectable faults. */
package org.endivehold.standin.http;
