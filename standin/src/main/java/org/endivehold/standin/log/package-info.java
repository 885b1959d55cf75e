/** What a stand-in has done, as the checks of invariants read it. */
package org.endivehold.standin.log;
