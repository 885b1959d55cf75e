/** Typed failures: one enum of error types, one checked exception, one manager that reports to listeners. */
package org.endivehold.error;
