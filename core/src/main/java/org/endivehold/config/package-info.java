/** Configuration objects, their validation, and the publishing and activation of configuration revisions. */
package org.endivehold.config;
