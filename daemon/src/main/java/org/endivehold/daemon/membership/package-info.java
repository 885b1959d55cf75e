/** Registration of daemons in the key-value service. */
package org.endivehold.daemon.membership;
