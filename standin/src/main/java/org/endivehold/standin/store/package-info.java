/** A stand-in for the platform's key-value service: the part of etcd's JSON gateway that the system uses. */
package org.endivehold.standin.store;
