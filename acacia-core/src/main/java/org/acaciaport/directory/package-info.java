/**
 * What the log says, replayed in order: {@link org.acaciaport.directory.Directory} is the state every process derives.
 */
package org.acaciaport.directory;
