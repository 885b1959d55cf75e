/** What one daemon may use of the upstreams beside the other daemons. */
package org.endivehold.capacity;
