/** Adapter to the platform's key-value service, over the JSON gateway of etcd v3. */
package org.endivehold.daemon.platform;
