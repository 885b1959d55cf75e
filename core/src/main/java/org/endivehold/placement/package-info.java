/** Choice of an upstream for one request. */
package org.endivehold.placement;
