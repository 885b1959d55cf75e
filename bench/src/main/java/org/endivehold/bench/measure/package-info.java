/** Figures, invariants and reports of an experiment. */
package org.endivehold.bench.measure;
