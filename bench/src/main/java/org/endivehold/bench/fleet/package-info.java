/** Stand-ins and real daemons in one process, on loopback. */
package org.endivehold.bench.fleet;
