/**
 * The messages of the interface to engines and plain services, as docs/ENGINE-INTERFACE.md describes them. An
 * installation with another interface replaces this package and the adapters that use it.
 */
package org.endivehold.upstream.protocol;
