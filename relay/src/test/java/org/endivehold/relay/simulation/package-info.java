/** Simulation of engines, daemons and callers in virtual time, to test decisions under a complete load. */
package org.endivehold.relay.simulation;
