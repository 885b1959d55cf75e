/** Load and experiment tool with reports and plots. */
package org.endivehold.bench;
