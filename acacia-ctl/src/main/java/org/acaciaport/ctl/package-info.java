/**
 * The {@code acaciactl} program for operators and callers; start with {@link org.acaciaport.ctl.CtlMain}.
 */
package org.acaciaport.ctl;
