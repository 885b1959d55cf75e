/** Callers over real HTTP, and what they saw. */
package org.endivehold.bench.caller;
