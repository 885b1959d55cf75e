/** Chooses an upstream for each request, by predicted time, cached prefixes and health. */
package org.endivehold.placement;
