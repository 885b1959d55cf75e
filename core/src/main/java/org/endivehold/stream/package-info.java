/** Bookkeeping of one generation stream over several attempts. */
package org.endivehold.stream;
