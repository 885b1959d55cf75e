/** HTTP adapters to engines and plain services, and the release of orphaned caches on engines. */
package org.endivehold.daemon.upstream;
