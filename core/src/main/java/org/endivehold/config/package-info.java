/** The operators' named configuration objects, their checker, and the rules by which a revision comes into force. */
package org.endivehold.config;
