/** The way of a request from admission to its last byte. */
package org.endivehold.daemon.request;
