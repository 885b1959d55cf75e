/** When and where generation requests are sent: the queue of requests, the account of engines, and who decides. */
package org.endivehold.relay.schedule;
