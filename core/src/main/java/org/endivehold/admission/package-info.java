/** Queueing, fairness, deadlines and early refusal. */
package org.endivehold.admission;
