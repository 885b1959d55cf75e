/** Evaluation of an experiment: figures, invariant checks, targets and reports. */
package org.endivehold.bench.measure;
