/** A stand-in for a plain service beside the engines. */
package org.endivehold.standin.plain;
