/** Admission control: queueing, fairness between customers, deadlines and early refusal of requests. */
package org.endivehold.admission;
