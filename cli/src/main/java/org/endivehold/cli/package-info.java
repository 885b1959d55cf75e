/** The operators' command-line tool. */
package org.endivehold.cli;
