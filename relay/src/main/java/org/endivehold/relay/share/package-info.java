/** Fair shares of engines among customers whose requests wait. */
package org.endivehold.relay.share;
