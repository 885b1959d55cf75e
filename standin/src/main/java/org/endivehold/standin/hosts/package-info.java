/** A stand-in for the platform's list of hosts. */
package org.endivehold.standin.hosts;
