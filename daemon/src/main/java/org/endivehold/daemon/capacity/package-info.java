/** The service that limits how much of each upstream the requests of this daemon may use. */
package org.endivehold.daemon.capacity;
