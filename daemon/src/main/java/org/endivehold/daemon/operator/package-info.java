/** The HTTP server for operators: configuration check, publication and history; daemon and fleet status; traces. */
package org.endivehold.daemon.operator;
