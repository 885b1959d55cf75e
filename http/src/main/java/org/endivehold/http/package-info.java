/** HTTP clients that accept only answers whose head is valid by RFC 9110 and RFC 9112. */
package org.endivehold.http;
