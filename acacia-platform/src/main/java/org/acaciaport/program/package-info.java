/**
 * What every program shares: the command line, settings, logs, metrics and the operators' HTTP interface.
 */
package org.acaciaport.program;
