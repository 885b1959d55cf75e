/** A stand-in for a model engine: a simple model of its timing and memory behind the real interface. */
package org.endivehold.standin.engine;
