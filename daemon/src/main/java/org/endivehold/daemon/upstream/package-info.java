/** Adapters to engines and plain services. */
package org.endivehold.daemon.upstream;
