/** Small general value types: identifiers, time sources and sizes shared by every module. */
package org.endivehold.misc;
