/** Room at the engines for large prompts: when it comes free, and who may use it until then. */
package org.endivehold.relay.room;
