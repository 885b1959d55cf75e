/** State of one generation request over several attempts: assembly of its answer, and the decision to retry. */
package org.endivehold.stream;
