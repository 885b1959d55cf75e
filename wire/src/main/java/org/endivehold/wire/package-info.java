/** Messages between daemons (peers), their MessagePack codec and their framing. */
package org.endivehold.wire;
