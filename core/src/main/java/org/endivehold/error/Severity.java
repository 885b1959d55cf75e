package org.endivehold.error;

/** Severity of a failure, which determines its log level. */
public enum Severity {
    /** Expected in normal operation, such as a refused request. */
    INFO,
    /** The daemon continues to work, but an operator should look into it. */
    WARNING,
    /** Work was lost, or a process cannot continue. */
    ERROR
}
