/** Decoding of JSON documents that other programs write. */
package org.endivehold.relay.json;
