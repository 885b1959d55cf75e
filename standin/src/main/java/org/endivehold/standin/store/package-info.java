/** A stand-in for the platform's key-value service: the part of etcd's JSON gateway that the daemons use. */
package org.endivehold.standin.store;
