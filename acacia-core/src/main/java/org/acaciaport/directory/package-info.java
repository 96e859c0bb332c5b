/**
 * The state that every process derives by replaying the platform's log in order; start with
 * {@link org.acaciaport.directory.Directory}.
 */
package org.acaciaport.directory;
