/** Limits on how much of the upstreams' capacity one daemon uses, given that other daemons use them too. */
package org.endivehold.capacity;
