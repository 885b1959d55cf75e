/** Log of what stand-ins did, which tests and invariant checks read. */
package org.endivehold.standin.log;
