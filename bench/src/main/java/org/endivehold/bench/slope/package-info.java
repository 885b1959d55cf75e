/** How the cost of each part grows with its size. */
package org.endivehold.bench.slope;
