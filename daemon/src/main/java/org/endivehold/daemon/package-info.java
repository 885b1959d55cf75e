/** The daemon's command line, its context, and the class that assembles and runs its services. */
package org.endivehold.daemon;
