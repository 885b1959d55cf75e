/** Measures what the packaged daemon needs from the start of its process to the first response. */
package org.endivehold.bench.start;
