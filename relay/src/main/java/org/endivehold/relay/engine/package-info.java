/** Choice of the engines for a prompt: a model of an engine's passes, the known jobs, placement and admission. */
package org.endivehold.relay.engine;
