package org.endivehold.error;

/** How much attention a failure needs. */
public enum Severity {
    /** Expected in normal operation, such as a refused request. */
    INFO,
    /** Work goes on, but an operator may want to look. */
    WARNING,
    /** Work was lost or a process cannot go on. */
    ERROR
}
