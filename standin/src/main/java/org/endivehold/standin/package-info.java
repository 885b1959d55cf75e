/** Stand-ins for the platform and the upstreams, for use in tests or as processes. */
package org.endivehold.standin;
