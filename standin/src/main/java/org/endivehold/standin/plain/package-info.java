/** A stand-in for a plain service, an upstream that is not an engine. */
package org.endivehold.standin.plain;
