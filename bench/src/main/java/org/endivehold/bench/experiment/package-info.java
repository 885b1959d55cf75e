/** The experiments: what arrives, what is disturbed, and how a run is carried out. */
package org.endivehold.bench.experiment;
