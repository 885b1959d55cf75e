/** Fleets of real daemons and stand-ins in one process on loopback. */
package org.endivehold.bench.fleet;
