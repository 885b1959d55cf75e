/** Microbenchmarks of how the cost of an operation grows with the size of its input. */
package org.endivehold.bench.slope;
