/** A stand-in for a model engine: the real HTTP interface over a simple model of timing and memory. */
package org.endivehold.standin.engine;
