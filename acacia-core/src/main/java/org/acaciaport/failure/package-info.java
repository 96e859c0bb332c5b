/** How log lines describe exceptions that nobody expected; see {@link org.acaciaport.failure.Failures}. */
package org.acaciaport.failure;
