/**
 * Typed failures: an enum of error types, one checked exception, and a manager that logs failures and notifies
 * listeners.
 */
package org.endivehold.error;
