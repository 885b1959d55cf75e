/** General types that all modules use: identifiers, the clock, log events, hashing and token estimates. */
package org.endivehold.misc;
