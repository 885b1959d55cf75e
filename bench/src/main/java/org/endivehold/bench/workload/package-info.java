/** What the callers of an experiment ask for, and when. */
package org.endivehold.bench.workload;
