/** Experiments: their workloads and disturbances, and the runner. */
package org.endivehold.bench.experiment;
