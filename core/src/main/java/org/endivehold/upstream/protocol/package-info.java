/**
 * Messages of the HTTP interface to engines and plain services, which docs/ENGINE-INTERFACE.md specifies. An
 * installation whose upstreams have another interface replaces this package and the adapters that use it.
 */
package org.endivehold.upstream.protocol;
