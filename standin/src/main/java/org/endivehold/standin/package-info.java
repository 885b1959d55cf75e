/** Stand-ins for the platform and the upstreams, usable in a test and as a process. */
package org.endivehold.standin;
