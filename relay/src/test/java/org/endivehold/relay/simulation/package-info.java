/** A model of engines, daemons and callers in virtual time, for tests of decisions under a whole load. */
package org.endivehold.relay.simulation;
