/** Scheduling of generation requests: the waiting requests, the jobs at the engines and the daemon that decides. */
package org.endivehold.relay.schedule;
