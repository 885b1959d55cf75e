/** Which engines read and write a prompt: a model of an engine's passes, the work known to be there, the choice. */
package org.endivehold.relay.engine;
