/** Messages between daemons, their MessagePack codec and framing. */
package org.endivehold.wire;
