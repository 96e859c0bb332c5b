/**
 * The code that all programs share: the command line, settings, logging, metrics and the operators' HTTP interface.
 */
package org.acaciaport.program;
