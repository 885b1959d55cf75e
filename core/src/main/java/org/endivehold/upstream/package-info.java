/** Interfaces to the upstreams: model engines and plain services. */
package org.endivehold.upstream;
