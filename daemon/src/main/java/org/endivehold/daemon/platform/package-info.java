/** Adapters to the platform: the key-value service over etcd's JSON gateway, and the host list over HTTP. */
package org.endivehold.daemon.platform;
