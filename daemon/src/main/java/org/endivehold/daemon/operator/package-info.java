/** The operators' HTTP port: check, publish, configuration, history, status of the fleet, traces. */
package org.endivehold.daemon.operator;
