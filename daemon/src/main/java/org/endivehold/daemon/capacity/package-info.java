/** The service that gives the request path its capacity. */
package org.endivehold.daemon.capacity;
