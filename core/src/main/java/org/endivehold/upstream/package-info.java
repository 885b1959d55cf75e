/** Client interfaces to the upstreams: model engines and plain services (other HTTP services). */
package org.endivehold.upstream;
