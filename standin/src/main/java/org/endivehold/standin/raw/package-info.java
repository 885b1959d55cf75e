/** Stand-in for a server in trouble, whose answers need not be valid HTTP. */
package org.endivehold.standin.raw;
