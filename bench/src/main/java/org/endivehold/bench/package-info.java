/** Load generator and experiment tool: commands, reports and charts. */
package org.endivehold.bench;
