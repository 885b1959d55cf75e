/** Prompts that crash upstreams: evidence from lost attempts, and the parts of prompts that are barred for it. */
package org.endivehold.relay.crash;
