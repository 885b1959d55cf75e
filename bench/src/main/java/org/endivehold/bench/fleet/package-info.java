/** A whole installation on loopback in one JVM: stand-ins and real daemons. */
package org.endivehold.bench.fleet;
